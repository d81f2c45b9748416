import net, { type AddressInfo } from 'node:net';
import { afterEach, expect, it } from 'vitest';
import { type OpenConnections, trackOpenConnections } from '../../lab/openConnections.js';
import { createPeerConnection } from './peerConnection.js';
import { MessageKind } from './peerMessages.js';
import { createPooledPeerClient, type PooledPeerClient } from './pooledPeerClient.js';

const QUESTION = { kind: 'nodes', revision: 1, waitMs: 0 };
const TIMEOUT_MS = 200;

const servers: net.Server[] = [];
let reads: PooledPeerClient;
let connections: OpenConnections;

afterEach(() => {
  reads.closeIdle();
  connections.stop();
  for (const server of servers.splice(0)) {
    server.close();
  }
});

/** A node that answers each read at once. */
async function startNode(): Promise<string> {
  const server = net.createServer((socket) => {
    const connection = createPeerConnection(socket);
    connection.setListener({
      onMessage: () =>
        connection.send({ kind: MessageKind.ReadResult, bytes: Buffer.from('told') }),
      onClose: () => {},
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

it('one read that is met with silence costs no other read a connection that rested meanwhile', async () => {
  connections = trackOpenConnections();
  reads = createPooledPeerClient(() => ({ address: '127.0.0.1:1', version: 1 }));
  const [first, second] = await Promise.all([startNode(), startNode()]);
  const readAll = (address: string) =>
    Promise.all([1, 2, 3].map(() => reads.read(address, QUESTION, TIMEOUT_MS)));
  await readAll(first);
  await readAll(second);
  expect(connections.silence(() => true)).toBe(6);
  expect(await reads.read(first, QUESTION, TIMEOUT_MS)).toBeUndefined();
  expect((await reads.read(first, QUESTION, TIMEOUT_MS))?.toString()).toBe('told');
  expect((await reads.read(second, QUESTION, TIMEOUT_MS))?.toString()).toBe('told');
});
