/**
 * Sends a body in chunks and limits how many of them are in flight. All messages of a machine wait
 * in one queue for its link: on a link of 3.5 Mbit/s, a body of 60 KB that is written at once
 * delays every small message behind it by 0.14 s, and a body of 350 KB delays them by 0.8 s.
 */
import type { MessageBody, StreamBody } from '../owner/message-body.js';
import { type ChunkMessage, MAX_CHUNK_BYTES, MessageKind } from './peerMessages.js';

/** Time in milliseconds for which the chunks in flight of one body may occupy the link. */
const BULK_WINDOW_MS = 40;

/** Smallest chunk in bytes. The messages around a smaller one would cost as much as the chunk. */
const MIN_CHUNK_BYTES = 4 * 1024;

/**
 * Smallest number of chunks in a window: one is in flight while the other is being acknowledged.
 */
const CHUNKS_PER_WINDOW = 2;

const BITS_PER_BYTE = 8;
const BITS_PER_MS_OF_ONE_MBPS = 1_000;

/** How much of a body may be in flight. */
export interface SendWindow {
  readonly chunkBytes: number;
  /** Largest number of unacknowledged chunks. */
  readonly chunks: number;
}

/**
 * The window for the slowest of the given links, in megabits per second. A link of undefined speed
 * counts as unlimited.
 */
export function sendWindowOf(...linksMbps: readonly (number | undefined)[]): SendWindow {
  const mbps = Math.min(...linksMbps.map((link) => link ?? Number.POSITIVE_INFINITY));
  const windowBytes = (mbps * BITS_PER_MS_OF_ONE_MBPS * BULK_WINDOW_MS) / BITS_PER_BYTE;
  const idealChunkBytes = Math.floor(windowBytes / CHUNKS_PER_WINDOW);
  const chunkBytes = Math.max(MIN_CHUNK_BYTES, Math.min(MAX_CHUNK_BYTES, idealChunkBytes));
  return { chunkBytes, chunks: Math.max(CHUNKS_PER_WINDOW, Math.floor(windowBytes / chunkBytes)) };
}

/** The connection that the sender writes to. */
export interface BodySink {
  send(message: ChunkMessage): void;
  /** Resolves when the connection can take more data; rejects if the connection is lost. */
  writable(): Promise<void>;
}

/** Sends the chunks of one connection. */
export interface BodySender {
  /** Sends a body; rejects if the body cannot be read to its end or the connection is lost. */
  sendBody(body: MessageBody): Promise<void>;
  /** Resolves when all chunks have been acknowledged, or when the connection is lost. */
  allAcknowledged(): Promise<void>;
  /** Called when the receiver has acknowledged a chunk. */
  onAcknowledged(): void;
  /** Called when the connection is lost. */
  onClose(): void;
}

export function createBodySender(sink: BodySink, window: SendWindow): BodySender {
  let unacknowledged = 0;
  let isLost = false;
  let wake: () => void = () => {};
  /** Waits until at most so many chunks are unacknowledged, or until the connection is lost. */
  const waitUntilAtMost = async (chunks: number): Promise<void> => {
    while (unacknowledged > chunks && !isLost) {
      await new Promise<void>((resolve) => {
        wake = resolve;
      });
    }
  };
  const sendChunk = async (bytes: Buffer, isLast: boolean): Promise<void> => {
    await waitUntilAtMost(window.chunks - 1);
    if (isLost) {
      throw new Error('the connection was lost');
    }
    unacknowledged += 1;
    sink.send({ kind: MessageKind.Chunk, bytes, isLast });
    await sink.writable();
  };
  return {
    sendBody: async (body) => {
      if (body.kind === 'bytes') {
        const chunks = [...split(body.bytes, window.chunkBytes)];
        const last = chunks.pop() ?? NO_BYTES;
        for (const bytes of chunks) {
          await sendChunk(bytes, false);
        }
        await sendChunk(last, true);
        return;
      }
      // Data of a stream is sent as it arrives. Its end becomes known only after its last data, so
      // an empty last chunk follows.
      for await (const bytes of chunksOf(body, window.chunkBytes)) {
        await sendChunk(bytes, false);
      }
      await sendChunk(NO_BYTES, true);
    },
    allAcknowledged: () => waitUntilAtMost(0),
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

async function* chunksOf(body: StreamBody, chunkBytes: number): AsyncGenerator<Buffer> {
  for (const buffer of body.head) {
    yield* split(buffer, chunkBytes);
  }
  for await (const buffer of body.rest) {
    yield* split(buffer as Buffer, chunkBytes);
  }
}

function* split(bytes: Buffer, chunkBytes: number): Generator<Buffer> {
  for (let start = 0; start < bytes.length; start += chunkBytes) {
    yield bytes.subarray(start, start + chunkBytes);
  }
}
