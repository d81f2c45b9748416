/** One TCP connection between two nodes: messages in both directions, one exchange at a time. */
import type { Socket } from 'node:net';
import { FrameReader } from '../codec/frame.js';
import type { MessageBody } from '../owner/message-body.js';
import { createBodySender, type SendWindow, sendWindowOf } from './bodySender.js';
import { decodeMessage, encodeMessage } from './peerCodec.js';
import { MAX_CHUNK_BYTES, MessageKind, type PeerMessage } from './peerMessages.js';

/** Who hears what happens on a connection. */
export interface PeerListener {
  onMessage(message: PeerMessage): void;
  /** Called once, when nothing more will come. */
  onClose(): void;
}

/** Messages over one socket. */
export interface PeerConnection {
  /** True once the connection has stood: before that, nothing that was sent can have arrived. */
  readonly wasEstablished: boolean;
  readonly isClosed: boolean;
  /** Replaces the listener: each exchange brings its own. */
  setListener(listener: PeerListener): void;
  send(message: PeerMessage): void;
  /** Sends a body as chunks, at the speed of the reader; rejects when either side breaks off. */
  sendBody(body: MessageBody): Promise<void>;
  /** Stops or goes on reading: a slow consumer holds the sender up. */
  setPaused(paused: boolean): void;
  destroy(): void;
}

/** Hears of every message that is sent, with its size in bytes. */
export type SentObserver = (kind: MessageKind, bytes: number) => void;

/** What connections have beside their sockets. */
export interface ConnectionOptions {
  readonly onSent?: SentObserver | undefined;
  /** How much of a body may be on its way; as over a wide link when left out. */
  readonly window?: SendWindow | undefined;
}

const NO_LISTENER: PeerListener = { onMessage: () => {}, onClose: () => {} };

/** Takes a socket over, connected or connecting. */
export function createPeerConnection(
  socket: Socket,
  { onSent = () => {}, window = sendWindowOf() }: ConnectionOptions = {},
): PeerConnection {
  const reader = new FrameReader();
  let listener = NO_LISTENER;
  let isClosed = false;
  let hasStood = !socket.connecting;
  const send = (message: PeerMessage): void => {
    if (!socket.destroyed) {
      const frame = encodeMessage(message);
      onSent(message.kind, frame.length);
      socket.write(frame);
    }
  };
  const bodies = createBodySender({ send, writable: () => writable(socket) }, window);
  const take = (message: PeerMessage): void => {
    if (message.kind === MessageKind.ChunkReceived) {
      bodies.onAcknowledged();
      return;
    }
    if (message.kind === MessageKind.Chunk) {
      send({ kind: MessageKind.ChunkReceived });
    }
    listener.onMessage(message);
  };
  socket.setNoDelay(true);
  socket.on('connect', () => {
    hasStood = true;
  });
  socket.on('error', () => {});
  socket.on('close', () => {
    isClosed = true;
    bodies.onClose();
    listener.onClose();
  });
  socket.on('data', (bytes) => {
    for (const value of reader.read(bytes) ?? [undefined]) {
      const message = decodeMessage(value);
      if (!message) {
        socket.destroy();
        return;
      }
      take(message);
    }
  });
  return {
    get wasEstablished() {
      return hasStood;
    },
    get isClosed() {
      return isClosed || socket.destroyed;
    },
    setListener: (next) => {
      listener = next;
    },
    send,
    sendBody: (body) => bodies.sendBody(body),
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

/** The bytes of a short body, or undefined if it has to travel in chunks. */
export function inlineBytes(body: MessageBody): Buffer | undefined {
  return body.kind === 'bytes' && body.bytes.length <= MAX_CHUNK_BYTES ? body.bytes : undefined;
}

/** Resolves when the socket takes more. */
function writable(socket: Socket): Promise<void> {
  if (socket.destroyed) {
    return Promise.reject(new Error('the connection was lost'));
  }
  if (!socket.writableNeedDrain) {
    return Promise.resolve();
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
