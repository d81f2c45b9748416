/**
 * Goes on reading a long body while its request waits for an owner. Node.js shows the close of a
 * connection only to a process that reads it, so the ingress would otherwise not learn that the
 * client has left.
 */
import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import type { MessageBody } from '../owner/message-body.js';
import { restOfBody } from './restOfBody.js';

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
  /** Nobody needs the body any more. What still arrives of it is read and dropped. */
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
      let rest: Readable | undefined;
      const onData = (chunk: Buffer): void => {
        chunks.push(chunk);
        bytes += chunk.length;
        totalBytes += chunk.length;
        if (bytes >= maxBytesPerBody || totalBytes >= maxBytes) {
          request.pause();
        }
      };
      const stopReading = (): void => {
        request.off('data', onData);
        request.off('close', stopReading);
        request.pause();
        totalBytes -= bytes;
        bytes = 0;
      };
      request.on('data', onData);
      request.on('close', stopReading);
      request.resume();
      return {
        take: async () => {
          stopReading();
          if (isTaken) {
            throw new Error('the body has been taken before');
          }
          isTaken = true;
          if (request.readableEnded && request.complete) {
            return { kind: 'bytes', bytes: Buffer.concat(chunks) };
          }
          rest = restOfBody(request);
          return { kind: 'stream', head: chunks, rest };
        },
        release: () => {
          if (rest) {
            rest.destroy();
          } else {
            stopReading();
            request.resume();
          }
        },
      };
    },
  };
}
