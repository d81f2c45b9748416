import net, { type AddressInfo } from 'node:net';
import { afterEach, expect, it } from 'vitest';
import { type OpenConnections, trackOpenConnections } from '../../lab/openConnections.js';
import { createPeerConnection } from './peerConnection.js';
import { MessageKind } from './peerMessages.js';
import { createPooledPeerClient, type PooledPeerClient } from './pooledPeerClient.js';

const QUERY = { kind: 'nodes', revision: 1, waitMs: 0 };
const TIMEOUT_MS = 200;

const servers: net.Server[] = [];
let client: PooledPeerClient;
let connections: OpenConnections;

afterEach(() => {
  client.closeIdle();
  connections.stop();
  for (const server of servers.splice(0)) {
    server.close();
  }
});

/** Starts a node that answers each read at once and returns its address. */
async function startNode(): Promise<string> {
  const server = net.createServer((socket) => {
    const connection = createPeerConnection(socket);
    connection.setListener({
      onMessage: () =>
        connection.send({ kind: MessageKind.ReadResult, bytes: Buffer.from('result') }),
      onClose: () => {},
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

it('replaces the idle connections to all nodes once one read has timed out', async () => {
  connections = trackOpenConnections();
  client = createPooledPeerClient(() => ({ address: '127.0.0.1:1', version: 1 }));
  const [first, second] = await Promise.all([startNode(), startNode()]);
  const readAll = (address: string) =>
    Promise.all([1, 2, 3].map(() => client.read(address, QUERY, TIMEOUT_MS)));
  await readAll(first);
  await readAll(second);
  expect(connections.silence(() => true)).toBe(6);
  expect(await client.read(first, QUERY, TIMEOUT_MS)).toBeUndefined();
  expect((await client.read(first, QUERY, TIMEOUT_MS))?.toString()).toBe('result');
  expect((await client.read(second, QUERY, TIMEOUT_MS))?.toString()).toBe('result');
});
