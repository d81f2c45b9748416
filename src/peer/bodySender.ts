/**
 * Sends a body in chunks, of which only a few are on their way at a time. A machine's link is one
 * queue: a body of 60 KB that is written at once holds up every small message behind it for 0.14 s on
 * a link of 3.5 Mbit/s, and the largest for 0.8 s.
 */
import type { MessageBody, StreamBody } from '../owner/message-body.js';
import { type ChunkMessage, MAX_CHUNK_BYTES, MessageKind } from './peerMessages.js';

/** How long what is on its way of one body may hold the link up, in milliseconds. */
const BULK_WINDOW_MS = 40;

/** Below this size, in bytes, the messages around a chunk would cost as much as the chunk. */
const MIN_CHUNK_BYTES = 4 * 1024;

/** Chunks that make up the window: while one is acknowledged, the other is under way. */
const CHUNKS_PER_WINDOW = 2;

const BITS_PER_BYTE = 8;
const BITS_PER_MS_OF_ONE_MBPS = 1_000;

/** How much of a body may be on its way. */
export interface SendWindow {
  readonly chunkBytes: number;
  /** Chunks that may be without an acknowledgement. */
  readonly chunks: number;
}

/** For links that carry so many megabits a second; an unknown one is taken for a wide one. */
export function sendWindowOf(...linksMbps: readonly (number | undefined)[]): SendWindow {
  const mbps = Math.min(...linksMbps.map((link) => link ?? Number.POSITIVE_INFINITY));
  const windowBytes = (mbps * BITS_PER_MS_OF_ONE_MBPS * BULK_WINDOW_MS) / BITS_PER_BYTE;
  const wanted = Math.floor(windowBytes / CHUNKS_PER_WINDOW);
  const chunkBytes = Math.max(MIN_CHUNK_BYTES, Math.min(MAX_CHUNK_BYTES, wanted));
  return { chunkBytes, chunks: Math.max(CHUNKS_PER_WINDOW, Math.floor(windowBytes / chunkBytes)) };
}

/** What the sender needs of its connection. */
export interface BodySink {
  send(message: ChunkMessage): void;
  /** Resolves when the connection takes more; rejects when it is lost. */
  writable(): Promise<void>;
}

/** The chunks of one connection. */
export interface BodySender {
  /** Sends a body; rejects when either side breaks off. */
  sendBody(body: MessageBody): Promise<void>;
  /** The other side has received a chunk. */
  onAcknowledged(): void;
  /** The connection is lost. */
  onClose(): void;
}

export function createBodySender(sink: BodySink, window: SendWindow): BodySender {
  let unacknowledged = 0;
  let isLost = false;
  let wake: () => void = () => {};
  const room = async (): Promise<void> => {
    while (unacknowledged >= window.chunks && !isLost) {
      await new Promise<void>((resolve) => {
        wake = resolve;
      });
    }
    if (isLost) {
      throw new Error('the connection was lost');
    }
  };
  const sendChunk = async (bytes: Buffer, isLast: boolean): Promise<void> => {
    await room();
    unacknowledged += 1;
    sink.send({ kind: MessageKind.Chunk, bytes, isLast });
    await sink.writable();
  };
  return {
    sendBody: async (body) => {
      if (body.kind === 'bytes') {
        const chunks = [...cut(body.bytes, window.chunkBytes)];
        const last = chunks.pop() ?? NO_BYTES;
        for (const bytes of chunks) {
          await sendChunk(bytes, false);
        }
        await sendChunk(last, true);
        return;
      }
      // A stream is passed on as it comes: its end is known only later.
      for await (const bytes of partsOf(body, window.chunkBytes)) {
        await sendChunk(bytes, false);
      }
      await sendChunk(NO_BYTES, true);
    },
    onAcknowledged: () => {
      unacknowledged -= 1;
      wake();
    },
    onClose: () => {
      isLost = true;
      wake();
    },
  };
}

const NO_BYTES = Buffer.alloc(0);

async function* partsOf(body: StreamBody, chunkBytes: number): AsyncGenerator<Buffer> {
  for (const whole of body.head) {
    yield* cut(whole, chunkBytes);
  }
  for await (const whole of body.rest) {
    yield* cut(whole as Buffer, chunkBytes);
  }
}

function* cut(bytes: Buffer, chunkBytes: number): Generator<Buffer> {
  for (let start = 0; start < bytes.length; start += chunkBytes) {
    yield bytes.subarray(start, start + chunkBytes);
  }
}
