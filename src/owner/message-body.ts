/** Bodies of requests and answers: whole in memory when short, streamed when long. */
import type { IncomingMessage } from 'node:http';
import type { Readable, Writable } from 'node:stream';
import { pipeline } from 'node:stream/promises';

/** A body that was read whole: it can be sent more than once. */
export interface BytesBody {
  readonly kind: 'bytes';
  readonly bytes: Buffer;
}

/** A long body: its beginning and the stream that holds the rest. It can be sent once. */
export interface StreamBody {
  readonly kind: 'stream';
  readonly head: readonly Buffer[];
  readonly rest: Readable;
}

export type MessageBody = BytesBody | StreamBody;

/** The body of a message that has none. */
export const EMPTY_BODY: BytesBody = { kind: 'bytes', bytes: Buffer.alloc(0) };

/**
 * Reads a message's body. Resolves with its bytes when it ends within
 * `limitBytes`, else with a stream; rejects when it breaks off before that.
 */
export function collectBody(source: IncomingMessage, limitBytes: number): Promise<MessageBody> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const release = () => {
      source.off('data', onData);
      source.off('end', onEnd);
      source.off('error', onBroken);
      source.off('close', onBroken);
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
        reject(new Error('the message broke off'));
      }
    };
    const onBroken = () => {
      release();
      // A later error of a broken stream has no other listener.
      source.on('error', () => {});
      reject(new Error('the message broke off'));
    };
    source.on('data', onData);
    source.on('end', onEnd);
    source.on('error', onBroken);
    source.on('close', onBroken);
  });
}

/** Writes a body and ends the target. Rejects when either side breaks off. */
export async function sendBody(body: MessageBody, target: Writable): Promise<void> {
  if (body.kind === 'bytes') {
    target.end(body.bytes);
    return;
  }
  for (const chunk of body.head) {
    target.write(chunk);
  }
  await pipeline(body.rest, target);
}

/** Gives up a body that nobody will read. */
export function discardBody(body: MessageBody): void {
  if (body.kind === 'stream') {
    body.rest.destroy();
  }
}
