import { once } from 'node:events';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, it, vi } from 'vitest';
import { closeIdleConnections } from './idleConnections.js';

const agent = new http.Agent({ keepAlive: true });
/** Answers the path `/at-once` alone. */
const server = http.createServer((request, response) => {
  if (request.url === '/at-once') {
    response.end();
  }
});

afterEach(() => {
  agent.destroy();
  server.closeAllConnections();
  server.close();
});

function ask(path: string): http.ClientRequest {
  const { port } = server.address() as AddressInfo;
  return http.get({ host: '127.0.0.1', port, path, agent }).on('error', () => {});
}

function countOf(sockets: NodeJS.ReadOnlyDict<readonly unknown[]>): number {
  return Object.values(sockets).flat().length;
}

it('connections at rest are closed, one in use is not', async () => {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const busy = ask('/never');
  await once(busy, 'socket');
  const [answer] = (await once(ask('/at-once'), 'response')) as [http.IncomingMessage];
  answer.resume();
  await vi.waitFor(() => expect(countOf(agent.freeSockets)).toBe(1));
  closeIdleConnections(agent);
  await vi.waitFor(() => expect(countOf(agent.freeSockets)).toBe(0));
  expect(countOf(agent.sockets)).toBe(1);
  expect(busy.destroyed).toBe(false);
});
