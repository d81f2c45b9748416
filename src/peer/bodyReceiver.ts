/** Puts a body together from the chunks in which it comes over a connection between nodes. */
import { Readable } from 'node:stream';
import type { BytesBody, MessageBody } from '../owner/message-body.js';
import type { PeerConnection } from './peerConnection.js';
import type { ChunkMessage } from './peerMessages.js';

/** Puts a body together from its chunks. */
export interface BodyReceiver {
  /** Whole when it is short, else its beginning and a stream; rejects when it breaks off. */
  readonly body: Promise<MessageBody>;
  /** True once the last chunk is in. */
  readonly isComplete: boolean;
  onChunk(chunk: ChunkMessage): void;
  /** Nobody reads the body any longer. */
  discard(): void;
  /** No more chunks will come. */
  abort(): void;
}

/**
 * Holds up to `limitBytes`; a longer body becomes a stream that holds the sender up. When its reader
 * gives the stream up, what is still to come is let through unread, and `onAbandoned` is called.
 */
export function createBodyReceiver(
  connection: PeerConnection,
  limitBytes: number,
  onAbandoned: () => void = () => {},
): BodyReceiver {
  const held: Buffer[] = [];
  let size = 0;
  let rest: Readable | undefined;
  let isComplete = false;
  let resolve: (body: MessageBody) => void = () => {};
  let reject: (error: Error) => void = () => {};
  const body = new Promise<MessageBody>((onBody, onBroken) => {
    resolve = onBody;
    reject = onBroken;
  });
  // Who does not wait for the body does not care that it broke off.
  body.catch(() => {});
  const startStream = () => {
    rest = new Readable({
      read: () => {
        if (!isComplete) {
          connection.setPaused(false);
        }
      },
    });
    rest.on('error', () => {});
    rest.on('close', () => {
      if (!isComplete) {
        connection.setPaused(false);
        onAbandoned();
      }
    });
    resolve({ kind: 'stream', head: held, rest });
  };
  return {
    body,
    get isComplete() {
      return isComplete;
    },
    onChunk: ({ bytes, isLast }) => {
      size += bytes.length;
      if (!rest) {
        held.push(bytes);
      } else if (bytes.length > 0 && !rest.destroyed && !rest.push(bytes)) {
        connection.setPaused(true);
      }
      isComplete = isLast;
      if (isLast) {
        // The connection goes on to the next exchange, whoever still reads this body.
        connection.setPaused(false);
      }
      if (isLast && rest) {
        rest.push(null);
      } else if (isLast) {
        resolve(wholeBody(held, size));
      } else if (!rest && size > limitBytes) {
        startStream();
      }
    },
    discard: () => rest?.destroy(),
    abort: () => {
      if (!isComplete) {
        const error = new Error('the message broke off');
        rest?.destroy(error);
        reject(error);
      }
    },
  };
}

function wholeBody(parts: readonly Buffer[], size: number): BytesBody {
  return { kind: 'bytes', bytes: Buffer.concat(parts, size) };
}
