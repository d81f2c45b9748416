import { EventEmitter } from 'node:events';
import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import { describe, expect, it } from 'vitest';
import type { StreamBody } from '../owner/message-body.js';
import { type BodyReadAhead, createReadAhead } from './readAhead.js';

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

async function takeStream(body: BodyReadAhead): Promise<StreamBody> {
  const taken = await body.take();
  if (taken.kind !== 'stream') {
    throw new Error(`expected a stream, got ${taken.kind}`);
  }
  return taken;
}

async function textOf(rest: Readable): Promise<string> {
  let text = '';
  for await (const chunk of rest) {
    text += String(chunk);
  }
  return text;
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
    const { head, rest } = await takeStream(body);
    expect(Buffer.concat([...head]).toString()).toBe('head more');
    expect(request.isRead).toBe(false);
    const reading = textOf(rest);
    expect(request.isRead).toBe(true);
    request.receive(' and');
    request.receive(' the rest');
    request.complete = true;
    request.emit('end');
    expect(await reading).toBe(' and the rest');
  });

  it('returns the whole rest to a reader that is slower than the request', async () => {
    const { request, body } = start(createReadAhead());
    const { rest } = await takeStream(body);
    request.receive(' the rest');
    request.complete = true;
    request.emit('end');
    request.emit('close');
    await new Promise(setImmediate);
    expect(await textOf(rest)).toBe(' the rest');
  });

  it('breaks the rest off if the client does', async () => {
    const { request, body } = start(createReadAhead());
    const { rest } = await takeStream(body);
    const reading = textOf(rest);
    request.receive(' and');
    request.emit('close');
    await expect(reading).rejects.toThrow('before its body was complete');
  });

  // Guards against connections that were never read again after a refused or an early answer.
  it.each([true, false])(
    'reads and drops what nobody needs any more; taken before: %s',
    async (isTaken) => {
      const { request, body } = start(createReadAhead(MAX_BYTES_PER_BODY));
      request.receive('x'.repeat(MAX_BYTES_PER_BODY));
      if (isTaken) {
        await body.take();
      }
      expect(request.isRead).toBe(false);
      body.release();
      expect(request.isRead).toBe(true);
      request.receive('x'.repeat(MAX_BYTES_PER_BODY));
      expect(request.isRead).toBe(true);
    },
  );

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
