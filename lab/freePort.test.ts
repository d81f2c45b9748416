import net, { type AddressInfo } from 'node:net';
import { expect, it } from 'vitest';
import { freePort } from './freePort.js';

it('gives ports that the kernel does not give to others meanwhile', async () => {
  const ports = await Promise.all(Array.from({ length: 40 }, () => freePort()));
  expect(new Set(ports).size).toBe(40);
  const servers = Array.from({ length: 200 }, () => net.createServer().listen(0, '127.0.0.1'));
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.on('listening', resolve))),
  );
  const taken = servers.map((server) => (server.address() as AddressInfo).port);
  expect(taken.filter((port) => ports.includes(port))).toEqual([]);
  for (const server of servers) {
    server.close();
  }
});

it('passes over a port at which something listens', async () => {
  const port = await freePort();
  const server = net.createServer().listen(port + 1, '127.0.0.1');
  await new Promise((resolve) => server.on('listening', resolve));
  expect(await freePort()).not.toBe(port + 1);
  server.close();
});
