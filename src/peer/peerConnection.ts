/**
 * One TCP connection between two nodes. It carries messages in both directions and one exchange at
 * a time.
 */
import type { Socket } from 'node:net';
import { FrameReader } from '../codec/frame.js';
import type { MessageBody } from '../owner/message-body.js';
import { createBodySender, type SendWindow, sendWindowOf } from './bodySender.js';
import { decodeMessage, encodeMessage } from './peerCodec.js';
import { MAX_CHUNK_BYTES, MessageKind, type PeerMessage } from './peerMessages.js';

/** Receives the events of a connection. */
export interface PeerListener {
  onMessage(message: PeerMessage): void;
  /** Called once, when no more messages can arrive. */
  onClose(): void;
}

/** Sends and receives messages over one socket. */
export interface PeerConnection {
  /** True once the socket has connected. Until then nothing that was sent can have arrived. */
  readonly wasEstablished: boolean;
  readonly isClosed: boolean;
  /** Replaces the listener; each exchange sets its own. */
  setListener(listener: PeerListener): void;
  send(message: PeerMessage): void;
  /**
   * Sends a body in chunks, as fast as the receiver acknowledges them. Rejects if the body cannot
   * be read to its end or the connection is lost.
   */
  sendBody(body: MessageBody): Promise<void>;
  /**
   * Resolves when the receiver has acknowledged all chunks and the operating system has taken all
   * other messages, or when the connection is lost.
   */
  flushed(): Promise<void>;
  /** Pauses or resumes reading, so that a slow consumer slows the sender down. */
  setPaused(paused: boolean): void;
  destroy(): void;
  /** Closes the connection when everything has been sent. */
  end(): void;
  /** Closes the connection with a reset, so that what was sent and has not left yet is dropped. */
  reset(): void;
}

/** Called for every message that is sent, with its size in bytes. */
export type SentObserver = (kind: MessageKind, bytes: number) => void;

/** Options of a connection. */
export interface ConnectionOptions {
  readonly onSent?: SentObserver | undefined;
  /** How much of a body may be in flight. The default is the window of an unlimited link. */
  readonly window?: SendWindow | undefined;
}

const NO_BYTES = Buffer.alloc(0);

const NO_LISTENER: PeerListener = { onMessage: () => {}, onClose: () => {} };

/** Wraps a socket that is connected or connecting. */
export function createPeerConnection(
  socket: Socket,
  { onSent = () => {}, window = sendWindowOf() }: ConnectionOptions = {},
): PeerConnection {
  const frameReader = new FrameReader();
  let listener = NO_LISTENER;
  let isClosed = false;
  let wasEstablished = !socket.connecting;
  const send = (message: PeerMessage): void => {
    if (!socket.destroyed) {
      const frame = encodeMessage(message);
      onSent(message.kind, frame.length);
      socket.write(frame);
    }
  };
  const bodySender = createBodySender({ send, writable: () => writable(socket) }, window);
  const receive = (message: PeerMessage): void => {
    if (message.kind === MessageKind.ChunkReceived) {
      bodySender.onAcknowledged();
      return;
    }
    if (message.kind === MessageKind.Chunk) {
      send({ kind: MessageKind.ChunkReceived });
    }
    listener.onMessage(message);
  };
  socket.setNoDelay(true);
  socket.on('connect', () => {
    wasEstablished = true;
  });
  const onClosed = (): void => {
    if (!isClosed) {
      isClosed = true;
      bodySender.onClose();
      listener.onClose();
    }
  };
  // Node.js reports the close itself only after it has run what waits for the poll that read it.
  for (const event of ['end', 'error', 'close']) {
    socket.on(event, onClosed);
  }
  socket.on('data', (bytes) => {
    for (const value of frameReader.read(bytes) ?? [undefined]) {
      const message = decodeMessage(value);
      if (!message) {
        socket.destroy();
        return;
      }
      receive(message);
    }
  });
  return {
    get wasEstablished() {
      return wasEstablished;
    },
    get isClosed() {
      return isClosed || socket.destroyed;
    },
    setListener: (next) => {
      listener = next;
    },
    send,
    sendBody: (body) => bodySender.sendBody(body),
    flushed: async () => {
      await bodySender.allAcknowledged();
      await written(socket);
    },
    setPaused: (paused) => {
      if (paused) {
        socket.pause();
      } else {
        socket.resume();
      }
    },
    destroy: () => socket.destroy(),
    end: () => socket.destroySoon(),
    reset: () => {
      // Node.js would delay the reset of a connecting socket until it has connected.
      if (socket.connecting) {
        socket.destroy();
      } else {
        socket.resetAndDestroy();
      }
    },
  };
}

/** The bytes of a body that fits into a message. Undefined if it has to be sent in chunks. */
export function inlineBytes(body: MessageBody): Buffer | undefined {
  return body.kind === 'bytes' && body.bytes.length <= MAX_CHUNK_BYTES ? body.bytes : undefined;
}

/** Resolves when the operating system has taken all data, or when the socket is closed. */
function written(socket: Socket): Promise<void> {
  if (socket.destroyed || socket.writableLength === 0) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    socket.write(NO_BYTES, () => resolve());
  });
}

/** Resolves when the socket can take more data; rejects if it closes first. */
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
