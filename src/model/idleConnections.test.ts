import { once } from 'node:events';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, it, vi } from 'vitest';
import { closeIdleConnections } from './idleConnections.js';

const agent = new http.Agent({ keepAlive: true });
/** Answers only the path `/at-once`; other requests stay open. */
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

function sendRequest(path: string): http.ClientRequest {
  const { port } = server.address() as AddressInfo;
  return http.get({ host: '127.0.0.1', port, path, agent }).on('error', () => {});
}

function countOf(sockets: NodeJS.ReadOnlyDict<readonly unknown[]>): number {
  return Object.values(sockets).flat().length;
}

it('closes idle connections, and no connection in use', async () => {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const busy = sendRequest('/never');
  await once(busy, 'socket');
  const [response] = (await once(sendRequest('/at-once'), 'response')) as [http.IncomingMessage];
  response.resume();
  await vi.waitFor(() => expect(countOf(agent.freeSockets)).toBe(1));
  closeIdleConnections(agent);
  await vi.waitFor(() => expect(countOf(agent.freeSockets)).toBe(0));
  expect(countOf(agent.sockets)).toBe(1);
  expect(busy.destroyed).toBe(false);
});
