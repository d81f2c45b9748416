import http from 'node:http';
import net from 'node:net';
import { expect, test } from 'vitest';
import { BackEndConnections } from './backEndConnections.js';

/** Shorter than the time after which an idle connection is closed anyway, in milliseconds. */
const GUARD_LIMIT_MS = 1_000;

const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

test('closes an idle connection that receives data', async () => {
  const connections = new BackEndConnections();
  const server = net.createServer();
  const closed = new Promise<string>((resolve) => {
    server.on('connection', (socket) => {
      socket.on('error', () => socket.destroy());
      socket.on('close', () => resolve('closed'));
      socket.once('data', () => socket.write(ANSWER));
      server.once('late', () => socket.write(ANSWER));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise<void>((resolve) => {
    const request = http.get({ host: '127.0.0.1', port, agent: connections.agentFor(true) });
    request.on('response', (response) => response.resume().on('end', resolve));
  });
  server.emit('late');
  const timeout = new Promise<string>((resolve) => setTimeout(resolve, GUARD_LIMIT_MS, 'open'));
  expect(await Promise.race([closed, timeout])).toBe('closed');
  connections.close();
  server.close();
});

test('closeIdle closes idle connections, so that the next request opens a new one', async () => {
  const connections = new BackEndConnections();
  const server = http.createServer((_request, response) => response.end('ok'));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  const sendRequest = () =>
    new Promise<boolean>((resolve) => {
      const request = http.get({ host: '127.0.0.1', port, agent: connections.agentFor(true) });
      request.on('response', (response) =>
        response.resume().on('end', () => setImmediate(resolve, request.reusedSocket)),
      );
    });
  expect(await sendRequest()).toBe(false);
  expect(await sendRequest()).toBe(true);
  connections.closeIdle();
  expect(await sendRequest()).toBe(false);
  connections.close();
  server.close();
});
