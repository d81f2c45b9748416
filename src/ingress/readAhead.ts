/**
 * Goes on reading a long body while its request waits for an owner. Node.js shows the close of a
 * connection only to a process that reads it, so the ingress would otherwise not learn that the
 * client has left.
 */
import type { IncomingMessage } from 'node:http';
import type { MessageBody } from '../owner/message-body.js';

/** Largest part of one body, in bytes, that is read ahead. */
const MAX_BYTES_PER_BODY = 4 * 1024 * 1024;

/** Largest part of all bodies of a node, in bytes, that is read ahead. */
const MAX_BYTES = 16 * 1024 * 1024;

/** One body that is read ahead. */
export interface BodyReadAhead {
  /**
   * Stops reading ahead and resolves with the body. Rejects if it has been taken before: it can be
   * sent once.
   */
  take(): Promise<MessageBody>;
  /** Stops reading ahead; the body will not be sent. */
  release(): void;
}

/** The ingress of a node has one. */
export interface ReadAhead {
  /** Starts to read a request; `head` is what has been read of its body before. */
  start(head: readonly Buffer[], request: IncomingMessage): BodyReadAhead;
}

export function createReadAhead(
  maxBytesPerBody = MAX_BYTES_PER_BODY,
  maxBytes = MAX_BYTES,
): ReadAhead {
  let totalBytes = 0;
  return {
    start: (head, request) => {
      const chunks = [...head];
      let bytes = 0;
      let isTaken = false;
      const onData = (chunk: Buffer): void => {
        chunks.push(chunk);
        bytes += chunk.length;
        totalBytes += chunk.length;
        if (bytes >= maxBytesPerBody || totalBytes >= maxBytes) {
          request.pause();
        }
      };
      const release = (): void => {
        request.off('data', onData);
        request.off('close', release);
        request.pause();
        totalBytes -= bytes;
        bytes = 0;
      };
      request.on('data', onData);
      request.on('close', release);
      request.resume();
      return {
        take: async () => {
          release();
          if (isTaken) {
            throw new Error('the body has been taken before');
          }
          isTaken = true;
          return request.readableEnded && request.complete
            ? { kind: 'bytes', bytes: Buffer.concat(chunks) }
            : { kind: 'stream', head: chunks, rest: request };
        },
        release,
      };
    },
  };
}
