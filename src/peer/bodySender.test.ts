import { Readable } from 'node:stream';
import { describe, expect, it, vi } from 'vitest';
import { createBodySender, sendWindowOf } from './bodySender.js';
import type { ChunkMessage } from './peerMessages.js';

function senderOf(linkMbps: number | undefined) {
  const sent: ChunkMessage[] = [];
  const sink = { send: (message: ChunkMessage) => sent.push(message), writable: async () => {} };
  return { sent, sender: createBodySender(sink, sendWindowOf(linkMbps)) };
}

function bytesOf(length: number) {
  return { kind: 'bytes', bytes: Buffer.alloc(length, 'x') } as const;
}

/** Lets all pending promise callbacks run. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 5));
}

describe('sendWindowOf', () => {
  it('occupies a link of 3.5 Mbit/s for 40 ms, in two chunks', () => {
    expect(sendWindowOf(3.5)).toEqual({ chunkBytes: 8_750, chunks: 2 });
  });

  it('returns the window of the narrower link', () => {
    expect(sendWindowOf(1_000, 3.5)).toEqual(sendWindowOf(3.5));
  });

  it('allows many chunks of the maximum size on a fast or unknown link', () => {
    for (const window of [sendWindowOf(1_000), sendWindowOf(undefined)]) {
      expect(window.chunkBytes).toBe(64 * 1024);
      expect(window.chunks).toBeGreaterThanOrEqual(64);
    }
  });
});

describe('createBodySender', () => {
  it('keeps at most one window in flight and sends another chunk per acknowledgement', async () => {
    const { sent, sender } = senderOf(3.5);
    const ended = sender.sendBody(bytesOf(60_000));
    for (let acknowledged = 0; acknowledged < 5; acknowledged += 1) {
      await settlePromises();
      expect(sent).toHaveLength(acknowledged + 2);
      sender.onAcknowledged();
    }
    await ended;
    expect(sent.map(({ isLast }) => isLast)).toEqual([
      false,
      false,
      false,
      false,
      false,
      false,
      true,
    ]);
    expect(Buffer.concat(sent.map(({ bytes }) => bytes))).toEqual(Buffer.alloc(60_000, 'x'));
  });

  it('sends a whole body without waiting over a fast link', async () => {
    const { sent, sender } = senderOf(1_000);
    await sender.sendBody(bytesOf(360_000));
    expect(sent).toHaveLength(6);
  });

  it('sends the data of a stream as it arrives, then an empty last chunk', async () => {
    const { sent, sender } = senderOf(3.5);
    const rest = new Readable({ read: () => {} });
    const ended = sender.sendBody({ kind: 'stream', head: [Buffer.from('head')], rest });
    rest.push('one');
    await vi.waitFor(() => expect(sent).toHaveLength(2));
    sender.onAcknowledged();
    rest.push(null);
    await ended;
    expect(sent.map(({ bytes, isLast }) => [bytes.toString(), isLast])).toEqual([
      ['head', false],
      ['one', false],
      ['', true],
    ]);
  });

  it('rejects a body in flight when the connection is lost', async () => {
    const { sender } = senderOf(3.5);
    const ended = sender.sendBody(bytesOf(60_000));
    await settlePromises();
    sender.onClose();
    await expect(ended).rejects.toThrow('lost');
  });

  it('sends the next body once the last chunk of the one before is acknowledged', async () => {
    const { sent, sender } = senderOf(3.5);
    await sender.sendBody(bytesOf(10_000));
    const second = sender.sendBody(bytesOf(100));
    await settlePromises();
    expect(sent).toHaveLength(2);
    sender.onAcknowledged();
    await second;
    expect(sent).toHaveLength(3);
  });
});
