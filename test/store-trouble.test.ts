/** A store that throttles, answers late or lags, and what a node believes after it. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { call, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => {
  mesh.close();
});

const NODES = 'spindlepaddle-nodes';
const ROUTES = [{ name: 'read', service: 'desk' }];

/** Time in which a throttled node is watched, in milliseconds. */
const WATCHED_MS = 3_000;

describe('a store that throttles', () => {
  it('is asked less and less, and serves the node once it has room', async () => {
    const machine = await mesh.add('desk');
    mesh.configure(ROUTES);
    await mesh.settled();
    machine.view.callsPerSecond = 0;
    mesh.store.wake();
    const before = machine.view.calls;
    await new Promise((resolve) => setTimeout(resolve, WATCHED_MS));
    // Three kinds are followed; each call that fails doubles the wait, from 0.15 s on.
    expect(machine.view.calls - before).toBeLessThanOrEqual(16);
    expect((await call(machine.node.addresses.clients, '/read/1')).status).toBe(200);
    machine.view.callsPerSecond = Number.POSITIVE_INFINITY;
    const version = mesh.configure([...ROUTES, { name: 'added', service: 'desk' }]);
    await waitFor(() => machine.node.status.version === version);
  });
});

describe('a write that is carried out late', () => {
  it('leaves one record of the node that others can use', async () => {
    const machine = await mesh.add('desk');
    mesh.configure(ROUTES);
    await mesh.settled();
    machine.node.close();
    mesh.store.delete(NODES, machine.name);
    const restarted = machine.restart();
    machine.view.writesToDelay = 1;
    machine.view.lateMs = 700;
    await restarted;
    await waitFor(() => mesh.store.kind(NODES).has(machine.name));
    await new Promise((resolve) => setTimeout(resolve, machine.view.lateMs * 2));
    const record = mesh.store.kind(NODES).get(machine.name);
    expect(record?.spec).toMatchObject({ address: machine.node.addresses.peers });
    expect(mesh.store.kind(NODES).size).toBe(1);
  });
});

describe('a route that a node lacks', () => {
  it('is refused for a moment while the node may be behind, and told as none when it is not', async () => {
    const machine = await mesh.add('desk');
    mesh.configure(ROUTES);
    await mesh.settled();
    const ask = () => call(machine.node.addresses.clients, '/added/1');
    expect((await ask()).status).toBe(404);
    machine.view.failure = 'unavailable';
    mesh.store.wake();
    await waitFor(async () => (await ask()).status === 503);
    expect(Number((await ask()).headers['retry-after'])).toBeGreaterThan(0);
    expect((await call(machine.node.addresses.clients, '/read/1')).status).toBe(200);
    machine.view.failure = undefined;
    await waitFor(async () => (await ask()).status === 404);
    mesh.configure([...ROUTES, { name: 'added', service: 'desk' }]);
    await waitFor(async () => (await ask()).status === 200);
  });
});

describe('a list that lags', () => {
  it('takes nothing back that the node has seen', async () => {
    const machine = await mesh.add('desk');
    mesh.configure(ROUTES);
    await mesh.settled();
    const old = mesh.store.revision;
    // In a zone of its own, so that each of the two reads the store itself.
    const other = await mesh.add('desk', { zone: 'zone-b' });
    const version = mesh.configure([...ROUTES, { name: 'added', service: 'desk' }]);
    await waitFor(() => machine.node.status.version === version);
    await waitFor(() => machine.node.status.ownersPresent === 2);
    machine.view.listsAsOf = old;
    // A change whose history is gone at once: the watch ends with 410, and a list that lags follows.
    mesh.configure([...ROUTES, { name: 'added', service: 'desk' }]);
    mesh.store.compact();
    await waitFor(() => !machine.node.status.storeConnected);
    expect(machine.node.status.version).toBeGreaterThanOrEqual(version);
    expect(machine.node.status.ownersPresent).toBe(2);
    expect(other.node.status.version).toBeGreaterThanOrEqual(version);
    expect((await call(machine.node.addresses.clients, '/added/1')).status).toBe(200);
  });
});
