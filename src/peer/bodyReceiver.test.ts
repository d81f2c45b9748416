import { describe, expect, it } from 'vitest';
import { createBodyReceiver } from './bodyReceiver.js';
import type { PeerConnection } from './peerConnection.js';
import { type ChunkMessage, MessageKind } from './peerMessages.js';

const CHUNK_BYTES = 64 * 1024;

function chunk(isLast: boolean): ChunkMessage {
  return { kind: MessageKind.Chunk, bytes: Buffer.alloc(isLast ? 0 : CHUNK_BYTES), isLast };
}

/** A connection that only records whether it is paused. */
function pausableConnection() {
  const state = { isPaused: false };
  const connection: PeerConnection = {
    wasEstablished: true,
    isClosed: false,
    setListener: () => {},
    send: () => {},
    sendBody: () => Promise.resolve(),
    setPaused: (paused) => {
      state.isPaused = paused;
    },
    flushed: () => Promise.resolve(),
    destroy: () => {},
    end: () => {},
    reset: () => {},
  };
  return { state, connection };
}

describe('createBodyReceiver', () => {
  it('pauses the connection while the body is not read', async () => {
    const { state, connection } = pausableConnection();
    const receiver = createBodyReceiver(connection, CHUNK_BYTES);
    for (let index = 0; index < 4; index += 1) {
      receiver.onChunk(chunk(false));
    }
    expect(state.isPaused).toBe(true);
    const body = await receiver.body;
    if (body.kind !== 'stream') {
      throw new Error('expected the long body to be a stream');
    }
    body.rest.read();
    expect(state.isPaused).toBe(false);
  });

  it('resumes the connection when the body is complete and never touches it again', async () => {
    const { state, connection } = pausableConnection();
    const receiver = createBodyReceiver(connection, CHUNK_BYTES);
    for (let index = 0; index < 4; index += 1) {
      receiver.onChunk(chunk(false));
    }
    receiver.onChunk(chunk(true));
    expect(state.isPaused).toBe(false);
    state.isPaused = true;
    const body = await receiver.body;
    if (body.kind === 'stream') {
      body.rest.destroy();
      await new Promise((resolve) => body.rest.once('close', resolve));
    }
    // The pause set above stands for one by the next exchange, which this body must not undo.
    expect(state.isPaused).toBe(true);
  });
});
