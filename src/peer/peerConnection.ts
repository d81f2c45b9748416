/** One TCP connection between two nodes: messages in both directions, one exchange at a time. */
import type { Socket } from 'node:net';
import { Readable } from 'node:stream';
import { FrameReader } from '../codec/frame.js';
import type { BytesBody, MessageBody } from '../owner/message-body.js';
import { decodeMessage, encodeMessage } from './peerCodec.js';
import { CHUNK_BYTES, type ChunkMessage, MessageKind, type PeerMessage } from './peerMessages.js';

/** Who hears what happens on a connection. */
export interface PeerListener {
  onMessage(message: PeerMessage): void;
  /** Called once, when nothing more will come. */
  onClose(): void;
}

/** Messages over one socket. */
export interface PeerConnection {
  /** True once the connection has stood: before that, nothing that was sent can have arrived. */
  readonly hasStood: boolean;
  readonly isClosed: boolean;
  /** Replaces the listener: each exchange brings its own. */
  listen(listener: PeerListener): void;
  send(message: PeerMessage): void;
  /** Sends a body as chunks, at the speed of the reader; rejects when either side breaks off. */
  sendBody(body: MessageBody): Promise<void>;
  /** Stops or goes on reading: a slow consumer holds the sender up. */
  setPaused(paused: boolean): void;
  destroy(): void;
}

/** Hears of every message that is sent, with its size in bytes. */
export type SentObserver = (kind: MessageKind, bytes: number) => void;

const NO_LISTENER: PeerListener = { onMessage: () => {}, onClose: () => {} };

/** Takes a socket over, connected or connecting. */
export function createPeerConnection(
  socket: Socket,
  onSent: SentObserver = () => {},
): PeerConnection {
  const reader = new FrameReader();
  let listener = NO_LISTENER;
  let isClosed = false;
  let hasStood = !socket.connecting;
  socket.setNoDelay(true);
  socket.on('connect', () => {
    hasStood = true;
  });
  socket.on('error', () => {});
  socket.on('close', () => {
    isClosed = true;
    listener.onClose();
  });
  socket.on('data', (bytes) => {
    for (const value of reader.read(bytes) ?? [undefined]) {
      const message = decodeMessage(value);
      if (!message) {
        socket.destroy();
        return;
      }
      listener.onMessage(message);
    }
  });
  const send = (message: PeerMessage): boolean => {
    if (socket.destroyed) {
      return false;
    }
    const frame = encodeMessage(message);
    onSent(message.kind, frame.length);
    return socket.write(frame);
  };
  return {
    get hasStood() {
      return hasStood;
    },
    get isClosed() {
      return isClosed || socket.destroyed;
    },
    listen: (next) => {
      listener = next;
    },
    send: (message) => {
      send(message);
    },
    sendBody: async (body) => {
      const whole = inlineBytes(body);
      if (whole) {
        send({ kind: MessageKind.Chunk, bytes: whole, isLast: true });
        return;
      }
      for await (const bytes of partsOf(body)) {
        if (!send({ kind: MessageKind.Chunk, bytes, isLast: false })) {
          await drained(socket);
        }
      }
      send({ kind: MessageKind.Chunk, bytes: NO_BYTES, isLast: true });
    },
    setPaused: (paused) => {
      if (paused) {
        socket.pause();
      } else {
        socket.resume();
      }
    },
    destroy: () => socket.destroy(),
  };
}

const NO_BYTES = Buffer.alloc(0);

/** The bytes of a short body, or undefined if it has to travel in chunks. */
export function inlineBytes(body: MessageBody): Buffer | undefined {
  return body.kind === 'bytes' && body.bytes.length <= CHUNK_BYTES ? body.bytes : undefined;
}

async function* partsOf(body: MessageBody): AsyncGenerator<Buffer> {
  const wholes: AsyncIterable<Buffer> | Iterable<Buffer> =
    body.kind === 'bytes' ? [body.bytes] : body.head;
  for await (const whole of wholes) {
    yield* cut(whole);
  }
  if (body.kind === 'stream') {
    for await (const whole of body.rest) {
      yield* cut(whole as Buffer);
    }
  }
}

function* cut(bytes: Buffer): Generator<Buffer> {
  for (let start = 0; start < bytes.length; start += CHUNK_BYTES) {
    yield bytes.subarray(start, start + CHUNK_BYTES);
  }
}

function drained(socket: Socket): Promise<void> {
  if (socket.destroyed) {
    return Promise.reject(new Error('the connection was lost'));
  }
  return new Promise((resolve, reject) => {
    const release = () => {
      socket.off('drain', onDrain);
      socket.off('close', onClose);
    };
    const onDrain = () => {
      release();
      resolve();
    };
    const onClose = () => {
      release();
      reject(new Error('the connection was lost'));
    };
    socket.on('drain', onDrain);
    socket.on('close', onClose);
  });
}

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
  breakOff(): void;
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
    breakOff: () => {
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
