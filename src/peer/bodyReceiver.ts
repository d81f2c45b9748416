/** Assembles a message body from the chunks that arrive over a connection between two nodes. */
import { Readable } from 'node:stream';
import type { BytesBody, MessageBody } from '../owner/message-body.js';
import type { PeerConnection } from './peerConnection.js';
import type { ChunkMessage } from './peerMessages.js';

/** Receives the chunks of one body. */
export interface BodyReceiver {
  /**
   * The whole body if it is short, otherwise its buffered beginning and a stream of the remainder.
   * Rejects if the connection closes before the body is complete or long enough to be streamed.
   */
  readonly body: Promise<MessageBody>;
  /** True once the last chunk has arrived. */
  readonly isComplete: boolean;
  onChunk(chunk: ChunkMessage): void;
  /** Called when the body is no longer read. */
  discard(): void;
  /** Called when no more chunks can arrive. */
  abort(): void;
}

/**
 * Buffers up to `limitBytes`. A longer body becomes a stream that pauses the connection while the
 * reader is slow. If the reader destroys the stream early, the connection resumes, the chunks that
 * still arrive are dropped, and `onAbandoned` is called.
 */
export function createBodyReceiver(
  connection: PeerConnection,
  limitBytes: number,
  onAbandoned: () => void = () => {},
): BodyReceiver {
  const buffered: Buffer[] = [];
  let size = 0;
  let rest: Readable | undefined;
  let isComplete = false;
  let resolve: (body: MessageBody) => void = () => {};
  let reject: (error: Error) => void = () => {};
  const body = new Promise<MessageBody>((onBody, onError) => {
    resolve = onBody;
    reject = onError;
  });
  // Prevents an unhandled rejection if nothing awaits the body.
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
    resolve({ kind: 'stream', head: buffered, rest });
  };
  return {
    body,
    get isComplete() {
      return isComplete;
    },
    onChunk: ({ bytes, isLast }) => {
      size += bytes.length;
      if (!rest) {
        buffered.push(bytes);
      } else if (bytes.length > 0 && !rest.destroyed && !rest.push(bytes)) {
        connection.setPaused(true);
      }
      isComplete = isLast;
      if (isLast) {
        // The next exchange uses the connection even while this body is still being read.
        connection.setPaused(false);
      }
      if (isLast && rest) {
        rest.push(null);
      } else if (isLast) {
        resolve(concatBody(buffered, size));
      } else if (!rest && size > limitBytes) {
        startStream();
      }
    },
    discard: () => rest?.destroy(),
    abort: () => {
      if (!isComplete) {
        const error = new Error('connection closed before the end of the message body');
        rest?.destroy(error);
        reject(error);
      }
    },
  };
}

function concatBody(chunks: readonly Buffer[], size: number): BytesBody {
  return { kind: 'bytes', bytes: Buffer.concat(chunks, size) };
}
