/**
 * Structured log: one JSON object per line on standard output. Writing never blocks the node: lines
 * wait in a bounded buffer. Lines that do not fit, and lines about requests above the rate limit,
 * are dropped. The next line that is accepted reports their number.
 */
import { write } from 'node:fs';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes bytes and calls `done` when the write has ended. */
export type LogSink = (bytes: Buffer, done: () => void) => void;

/** Calls the callback after a delay that the implementation chooses. */
export type Defer = (callback: () => void) => void;

/**
 * Lines about requests within this many milliseconds are written together. Each write wakes a
 * thread of the runtime, which costs more than the line.
 */
const BATCH_MS = 50;

/** Delays the write so that further lines are written together with the first. */
export const batchLines: Defer = (callback) => {
  setTimeout(callback, BATCH_MS);
};

/** Largest number of bytes that wait for a slow reader. */
const MAX_PENDING_BYTES = 256 * 1024;

/** Largest number of lines about requests that are written in one second. */
const MAX_LINES_PER_SECOND = 50;

const MILLISECONDS_PER_SECOND = 1_000;

/** Returns a sink that writes to a file descriptor without waiting for its reader. */
export function descriptorSink(descriptor: number): LogSink {
  return (bytes, done) => write(descriptor, bytes, () => done());
}

/** One per node. */
export class DecisionLog {
  private pendingLines: Buffer[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private isFlushDeferred = false;
  private secondStartedAt = 0;
  private linesThisSecond = 0;
  private unreportedDrops = 0;
  /** Lines dropped since the start. */
  dropped = 0;

  constructor(
    private readonly node: string,
    private readonly now: () => number,
    private readonly sink: LogSink,
    /** Delays the write of lines about requests. The default writes them immediately. */
    private readonly deferFlush: Defer = (callback) => callback(),
  ) {}

  /** Writes a line that the rate limit does not apply to, such as start, stop or a lost store. */
  event(event: string, fields: LogFields = {}): void {
    this.enqueue(event, fields);
    this.flush();
  }

  /** Writes a line about a request. Drops it if the rate limit is reached. */
  decision(event: string, fields: LogFields): void {
    const now = this.now();
    if (now - this.secondStartedAt >= MILLISECONDS_PER_SECOND) {
      this.secondStartedAt = now;
      this.linesThisSecond = 0;
    }
    if (this.linesThisSecond >= MAX_LINES_PER_SECOND) {
      this.drop();
      return;
    }
    this.linesThisSecond += 1;
    this.enqueue(event, fields);
    if (!this.isFlushDeferred) {
      this.isFlushDeferred = true;
      this.deferFlush(() => {
        this.isFlushDeferred = false;
        this.flush();
      });
    }
  }

  private enqueue(event: string, fields: LogFields): void {
    const droppedField = this.unreportedDrops > 0 ? { droppedLines: this.unreportedDrops } : {};
    const at = Math.round(this.now());
    const line = Buffer.from(
      `${JSON.stringify({ at, node: this.node, event, ...fields, ...droppedField })}\n`,
    );
    if (this.pendingBytes + line.length > MAX_PENDING_BYTES) {
      this.drop();
      return;
    }
    this.unreportedDrops = 0;
    this.pendingLines.push(line);
    this.pendingBytes += line.length;
  }

  private drop(): void {
    this.dropped += 1;
    this.unreportedDrops += 1;
  }

  private flush(): void {
    if (this.isWriting || this.pendingLines.length === 0) {
      return;
    }
    this.isWriting = true;
    const bytes = Buffer.concat(this.pendingLines);
    this.pendingLines = [];
    this.pendingBytes = bytes.length;
    this.sink(bytes, () => {
      this.isWriting = false;
      this.pendingBytes = this.pendingLines.reduce((sum, line) => sum + line.length, 0);
      this.flush();
    });
  }
}
