/**
 * Structured log: one JSON object a line on standard output. Writing never
 * blocks the node: lines wait in a bounded buffer, and what does not fit is
 * counted and reported with the next line that does.
 */
import { write } from 'node:fs';

/** Values of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes bytes somewhere and calls back. */
export type LogSink = (bytes: Buffer, done: () => void) => void;

/** Calls back a little later. */
export type Defer = (callback: () => void) => void;

/**
 * Lines about requests of this many milliseconds are written together: each write wakes a thread
 * of the runtime, which costs more than the line.
 */
const GATHER_MS = 50;

/** Gathers lines for a while. */
export const batchLines: Defer = (callback) => {
  setTimeout(callback, GATHER_MS);
};

/** Bytes that may wait for a slow reader. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Lines that may be written in one second. */
const MAX_LINES_PER_SECOND = 50;

const MILLISECONDS_PER_SECOND = 1_000;

/** Writes to a file descriptor without waiting for its reader. */
export function descriptorSink(descriptor: number): LogSink {
  return (bytes, done) => write(descriptor, bytes, () => done());
}

/** Owned by the node. */
export class DecisionLog {
  private waiting: Buffer[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private isGathering = false;
  private secondStart = 0;
  private linesThisSecond = 0;
  private droppedSince = 0;
  /** Lines dropped since the start. */
  dropped = 0;

  constructor(
    private readonly node: string,
    private readonly now: () => number,
    private readonly sink: LogSink,
    /** How lines about requests are gathered; at once when left out. */
    private readonly gather: Defer = (callback) => callback(),
  ) {}

  /** Writes a line that must not be lost to sampling: start, stop, dependencies. */
  event(event: string, fields: LogFields = {}): void {
    this.put(event, fields);
    this.flush();
  }

  /** Writes a line about a request; bounded by rate. */
  decision(event: string, fields: LogFields): void {
    const now = this.now();
    if (now - this.secondStart >= MILLISECONDS_PER_SECOND) {
      this.secondStart = now;
      this.linesThisSecond = 0;
    }
    if (this.linesThisSecond >= MAX_LINES_PER_SECOND) {
      this.drop();
      return;
    }
    this.linesThisSecond += 1;
    this.put(event, fields);
    if (!this.isGathering) {
      this.isGathering = true;
      this.gather(() => {
        this.isGathering = false;
        this.flush();
      });
    }
  }

  private put(event: string, fields: LogFields): void {
    const dropped = this.droppedSince > 0 ? { droppedLines: this.droppedSince } : {};
    const at = Math.round(this.now());
    const line = Buffer.from(
      `${JSON.stringify({ at, node: this.node, event, ...fields, ...dropped })}\n`,
    );
    if (this.waitingBytes + line.length > MAX_WAITING_BYTES) {
      this.drop();
      return;
    }
    this.droppedSince = 0;
    this.waiting.push(line);
    this.waitingBytes += line.length;
  }

  private drop(): void {
    this.dropped += 1;
    this.droppedSince += 1;
  }

  private flush(): void {
    if (this.isWriting || this.waiting.length === 0) {
      return;
    }
    this.isWriting = true;
    const bytes = Buffer.concat(this.waiting);
    this.waiting = [];
    this.waitingBytes = bytes.length;
    this.sink(bytes, () => {
      this.isWriting = false;
      this.waitingBytes = this.waiting.reduce((sum, line) => sum + line.length, 0);
      this.flush();
    });
  }
}
