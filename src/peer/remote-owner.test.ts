import http from 'node:http';
import net, { type AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { steadyClock } from '../model/clock.js';
import { EMPTY_BODY } from '../owner/message-body.js';
import type { OwnerTask } from '../owner/owner.js';
import { Cancellation } from '../proxy/cancellation.js';
import { RemoteOwner } from './remote-owner.js';

const SILENCE_LIMIT_MS = 100;

let server: net.Server | undefined;

afterEach(() => {
  server?.close();
});

async function peer(onConnection: (socket: net.Socket) => void): Promise<RemoteOwner> {
  const listening = net.createServer((socket) => {
    socket.on('error', () => {});
    onConnection(socket);
  });
  server = listening;
  await new Promise<void>((resolve) => listening.listen(0, '127.0.0.1', resolve));
  return new RemoteOwner(`127.0.0.1:${(listening.address() as AddressInfo).port}`, {
    clock: steadyClock,
    agent: new http.Agent({ keepAlive: true }),
    sender: () => ({ address: '127.0.0.1:1', version: 1 }),
    silenceLimitMs: () => SILENCE_LIMIT_MS,
    onReport: () => {},
    onFailure: () => {},
  });
}

function task(repeatable: boolean): OwnerTask {
  const now = steadyClock.now();
  return {
    requestId: 'r',
    method: 'GET',
    target: '/',
    headers: [],
    service: 'desk',
    route: 'read',
    callerService: 'desk',
    priority: 1,
    repeatable,
    deadlineAt: now + 2_000,
    targetAt: now + 1_000,
    hasBody: false,
    mayWait: true,
    cancellation: new Cancellation(),
    loadBody: () => Promise.resolve(EMPTY_BODY),
    onProgress: () => {},
  };
}

/** True once the whole request has arrived: the last chunk of its body ends it. */
const isWhole = (received: string) => received.includes('\r\n\r\n0\r\n\r\n');

describe('RemoteOwner', () => {
  it.each([true, false])(
    'has certainly not run a task at an owner that stays silent (repeatable: %s)',
    async (repeatable) => {
      let received = '';
      const owner = await peer((socket) => {
        socket.on('data', (bytes) => {
          received += bytes;
        });
      });
      const outcome = await owner.run(task(repeatable));
      expect(outcome).toEqual({ kind: 'not-run', reason: 'peer-silent', arrived: false });
      expect(received).toContain('GET / HTTP/1.1');
      expect(isWhole(received)).toBe(false);
    },
  );

  it('does not know the fate of a task that was admitted and then lost', async () => {
    const owner = await peer((socket) => {
      let received = '';
      socket.write('HTTP/1.1 100 Continue\r\n\r\n');
      socket.on('data', (bytes) => {
        received += bytes;
        if (isWhole(received)) {
          socket.destroy();
        }
      });
    });
    expect(await owner.run(task(true))).toEqual({ kind: 'unknown', reason: 'peer-lost' });
  });

  it('waits for an owner that has queued the task', async () => {
    const owner = await peer((socket) => {
      socket.write('HTTP/1.1 102 Processing\r\n\r\n');
      setTimeout(() => {
        socket.end(
          'HTTP/1.1 503 Busy\r\nspindlepaddle-peer-outcome: not-run;busy;0;40\r\nContent-Length: 0\r\n\r\n',
        );
      }, SILENCE_LIMIT_MS * 2);
    });
    expect(await owner.run(task(false))).toEqual({
      kind: 'not-run',
      reason: 'busy',
      arrived: false,
      retryAfterMs: 40,
    });
  });
});
