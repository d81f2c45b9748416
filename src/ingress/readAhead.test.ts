import { EventEmitter } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { describe, expect, it } from 'vitest';
import { createReadAhead } from './readAhead.js';

const MAX_BYTES_PER_BODY = 10;
const MAX_BYTES = 15;

/** A request that records whether it is read. */
class RequestStandIn extends EventEmitter {
  isRead = false;
  readableEnded = false;
  complete = false;

  pause(): void {
    this.isRead = false;
  }

  resume(): void {
    this.isRead = true;
  }

  receive(text: string): void {
    this.emit('data', Buffer.from(text));
  }
}

const start = (readAhead: ReturnType<typeof createReadAhead>) => {
  const request = new RequestStandIn();
  const body = readAhead.start([Buffer.from('head')], request as unknown as IncomingMessage);
  return { request, body };
};

describe('createReadAhead', () => {
  it('returns what it has read in front of the rest', async () => {
    const { request, body } = start(createReadAhead());
    request.receive(' more');
    const taken = await body.take();
    expect(taken).toMatchObject({ kind: 'stream', rest: request });
    expect(taken.kind === 'stream' && Buffer.concat([...taken.head]).toString()).toBe('head more');
    expect(request.isRead).toBe(false);
  });

  it('returns the whole body if it has read it to its end', async () => {
    const { request, body } = start(createReadAhead());
    request.receive(' end');
    request.readableEnded = true;
    request.complete = true;
    expect(await body.take()).toEqual({ kind: 'bytes', bytes: Buffer.from('head end') });
  });

  // Guards against an owner that gets the rest of a body without what another owner has read of it.
  it('returns a body once', async () => {
    const { body } = start(createReadAhead());
    await body.take();
    await expect(body.take()).rejects.toThrow('taken before');
  });

  it('reads no more than the limits of a body and of all bodies', () => {
    const readAhead = createReadAhead(MAX_BYTES_PER_BODY, MAX_BYTES);
    const first = start(readAhead);
    first.request.receive('x'.repeat(MAX_BYTES_PER_BODY));
    expect(first.request.isRead).toBe(false);
    const second = start(readAhead);
    expect(second.request.isRead).toBe(true);
    second.request.receive('x'.repeat(MAX_BYTES - MAX_BYTES_PER_BODY));
    expect(second.request.isRead).toBe(false);
    first.body.release();
    second.body.release();
    expect(start(readAhead).request.isRead).toBe(true);
  });
});
