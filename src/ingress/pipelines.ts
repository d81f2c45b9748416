/**
 * Tracks the requests on each client connection. A client may send several requests before the
 * first is answered. The answers are sent in the same order (RFC 9112, section 9.3.2), and after an
 * answer that closes the connection no other can follow. So only the last answer may close the
 * connection, and requests that arrive after it are not served: the client sends them again.
 *
 * Node.js reports the close of a connection only to the answer that is next on it, and stops reading
 * a connection on which many bytes of later answers wait. So the requests behind the first learn
 * from here that their client has left, and no answer is written before its turn.
 */
import type { Socket } from 'node:net';

/** How a client has left. */
export enum Departure {
  /** It has closed its side. Node.js then closes the other side, so no answer can follow. */
  End = 'end',
  /** The connection is closed or was reset. */
  Close = 'close',
}

/** One request in the order of its connection. */
export interface PipelinedRequest {
  /**
   * Resolves with true when all earlier requests have been answered, with false when the client has
   * left before that.
   */
  turn(): Promise<boolean>;
  /** The listener is called once if the client leaves before the request has ended. */
  onDeparture(listener: (departure: Departure) => void): void;
  /** Called when the answer has been sent, or never will be. */
  end(): void;
}

/** The pipelines of all connections of an ingress. */
export interface Pipelines {
  /** Adds a new request. Undefined if its connection is closing, so that it must not be served. */
  begin(socket: Socket): PipelinedRequest | undefined;
  /** True if no request on the connection waits for an answer, or for the end of one. */
  isIdle(socket: Socket): boolean;
  /**
   * True if no other request on the connection waits for an answer. From then on, no further
   * request on it is served.
   */
  closeIfLast(socket: Socket): boolean;
  /** Stops serving the connection. Calls back as soon as no earlier request awaits its answer. */
  closeWhenIdle(socket: Socket, callback: () => void): void;
}

/**
 * Largest number of unanswered requests on one connection. Later ones are not served; the client
 * sends them again on another connection.
 */
const MAX_UNANSWERED = 256;

interface Entry {
  onDeparture: (departure: Departure) => void;
  /** Resolves the wait for the turn, if there is one. */
  onTurn: ((isFirst: boolean) => void) | undefined;
}

interface Pipeline {
  /** The requests without an answer, in order. */
  readonly entries: Entry[];
  isClosing: boolean;
  hasLeft: boolean;
  readonly whenIdle: (() => void)[];
}

export function createPipelines(): Pipelines {
  const pipelines = new WeakMap<Socket, Pipeline>();
  const pipelineOf = (socket: Socket): Pipeline => {
    const existing = pipelines.get(socket);
    if (existing) {
      return existing;
    }
    const created: Pipeline = { entries: [], isClosing: false, hasLeft: false, whenIdle: [] };
    pipelines.set(socket, created);
    socket.on('end', () => leave(created, Departure.End));
    // Node.js reports the close of a reset connection later than its error.
    socket.on('error', () => leave(created, Departure.Close));
    socket.on('close', () => leave(created, Departure.Close));
    return created;
  };
  return {
    begin: (socket) => {
      const pipeline = pipelineOf(socket);
      if (!pipeline.isClosing && pipeline.entries.length >= MAX_UNANSWERED) {
        pipeline.isClosing = true;
        pipeline.whenIdle.push(() => socket.end());
      }
      if (pipeline.isClosing || pipeline.hasLeft) {
        return undefined;
      }
      const entry: Entry = { onDeparture: () => {}, onTurn: undefined };
      pipeline.entries.push(entry);
      return {
        turn: () => turnOf(entry, pipeline),
        onDeparture: (listener) => {
          entry.onDeparture = listener;
        },
        end: () => end(entry, pipeline),
      };
    },
    isIdle: (socket) => (pipelines.get(socket)?.entries.length ?? 0) === 0,
    closeIfLast: (socket) => {
      const pipeline = pipelineOf(socket);
      pipeline.isClosing ||= pipeline.entries.length <= 1;
      return pipeline.isClosing && pipeline.entries.length <= 1;
    },
    closeWhenIdle: (socket, callback) => {
      const pipeline = pipelineOf(socket);
      pipeline.isClosing = true;
      if (pipeline.entries.length === 0) {
        callback();
      } else {
        pipeline.whenIdle.push(callback);
      }
    },
  };
}

function turnOf(entry: Entry, { entries, hasLeft }: Pipeline): Promise<boolean> {
  if (hasLeft || entries[0] === entry) {
    return Promise.resolve(!hasLeft);
  }
  return new Promise((resolve) => {
    entry.onTurn = resolve;
  });
}

function end(entry: Entry, { entries, whenIdle }: Pipeline): void {
  const index = entries.indexOf(entry);
  if (index < 0) {
    return;
  }
  entries.splice(index, 1);
  entries[0]?.onTurn?.(true);
  if (entries.length === 0) {
    for (const callback of whenIdle.splice(0)) {
      callback();
    }
  }
}

function leave(pipeline: Pipeline, departure: Departure): void {
  if (pipeline.hasLeft) {
    return;
  }
  pipeline.hasLeft = true;
  for (const { onTurn, onDeparture } of pipeline.entries.splice(0)) {
    onTurn?.(false);
    onDeparture(departure);
  }
}
