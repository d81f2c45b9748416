/** Bodies of requests and answers: short ones are buffered in memory, long ones are streamed. */
import type { IncomingMessage } from 'node:http';
import type { Readable, Writable } from 'node:stream';
import { pipeline } from 'node:stream/promises';

/** A body that was read completely. It can be sent more than once. */
export interface BytesBody {
  readonly kind: 'bytes';
  readonly bytes: Buffer;
}

/** A long body: the beginning, and a stream of the rest. It can be sent once. */
export interface StreamBody {
  readonly kind: 'stream';
  readonly head: readonly Buffer[];
  readonly rest: Readable;
}

export type MessageBody = BytesBody | StreamBody;

/** The body of a message that has none. */
export const EMPTY_BODY: BytesBody = { kind: 'bytes', bytes: Buffer.alloc(0) };

/**
 * Reads a message's body. Resolves with its bytes if it ends within
 * `limitBytes`, otherwise with a stream. Rejects if it ends early before that.
 */
export function collectBody(source: IncomingMessage, limitBytes: number): Promise<MessageBody> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const release = () => {
      source.off('data', onData);
      source.off('end', onEnd);
      source.off('error', onEarlyEnd);
      source.off('close', onEarlyEnd);
    };
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      if (size > limitBytes) {
        source.pause();
        release();
        resolve({ kind: 'stream', head: chunks, rest: source });
      }
    };
    const onEnd = () => {
      release();
      if (source.complete) {
        resolve({
          kind: 'bytes',
          bytes: chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks, size),
        });
      } else {
        reject(new Error('message ended before its body was complete'));
      }
    };
    const onEarlyEnd = () => {
      release();
      // An error that the failed stream emits later would have no listener.
      source.on('error', () => {});
      reject(new Error('message ended before its body was complete'));
    };
    source.on('data', onData);
    source.on('end', onEnd);
    source.on('error', onEarlyEnd);
    source.on('close', onEarlyEnd);
  });
}

/**
 * Writes a body and ends the target. Rejects if either stream fails or ends early; the target is
 * then left open, and the caller has to close it.
 */
export async function sendBody(body: MessageBody, target: Writable): Promise<void> {
  if (body.kind === 'bytes') {
    target.end(body.bytes);
    return;
  }
  for (const chunk of body.head) {
    target.write(chunk);
  }
  await pipeline(body.rest, target, { end: false });
  target.end();
}

/** Releases a body that will not be read. */
export function discardBody(body: MessageBody): void {
  if (body.kind === 'stream') {
    body.rest.destroy();
  }
}
