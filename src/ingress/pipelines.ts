/**
 * Tracks the requests on each client connection. A client may send several requests before the
 * first is answered. The answers are sent in the same order (RFC 9112, section 9.3.2), and after an
 * answer that closes the connection no other can follow. So only the last answer may close the
 * connection, and requests that arrive after it are not served: the client sends them again.
 */
import type { Socket } from 'node:net';

interface Pipeline {
  unanswered: number;
  isClosing: boolean;
  readonly whenIdle: (() => void)[];
}

/** The pipelines of all connections of an ingress. */
export interface Pipelines {
  /** Counts a new request. False if its connection is closing, so that it must not be served. */
  begin(socket: Socket): boolean;
  /** Called when a request's answer has been sent, or never will be. */
  end(socket: Socket): void;
  /**
   * True if no other request on the connection waits for an answer. From then on, no further
   * request on it is served.
   */
  closeIfLast(socket: Socket): boolean;
  /** Stops serving the connection. Calls back as soon as no earlier request awaits its answer. */
  closeWhenIdle(socket: Socket, callback: () => void): void;
}

export function createPipelines(): Pipelines {
  const pipelines = new WeakMap<Socket, Pipeline>();
  const pipelineOf = (socket: Socket): Pipeline => {
    const existing = pipelines.get(socket);
    if (existing) {
      return existing;
    }
    const created: Pipeline = { unanswered: 0, isClosing: false, whenIdle: [] };
    pipelines.set(socket, created);
    return created;
  };
  return {
    begin: (socket) => {
      const pipeline = pipelineOf(socket);
      if (pipeline.isClosing) {
        return false;
      }
      pipeline.unanswered += 1;
      return true;
    },
    end: (socket) => {
      const pipeline = pipelineOf(socket);
      pipeline.unanswered -= 1;
      if (pipeline.unanswered === 0) {
        for (const callback of pipeline.whenIdle.splice(0)) {
          callback();
        }
      }
    },
    closeIfLast: (socket) => {
      const pipeline = pipelineOf(socket);
      pipeline.isClosing ||= pipeline.unanswered <= 1;
      return pipeline.isClosing && pipeline.unanswered <= 1;
    },
    closeWhenIdle: (socket, callback) => {
      const pipeline = pipelineOf(socket);
      pipeline.isClosing = true;
      if (pipeline.unanswered === 0) {
        callback();
      } else {
        pipeline.whenIdle.push(callback);
      }
    },
  };
}
