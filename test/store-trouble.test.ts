/**
 * A store that throttles, writes late or returns lagging lists: nodes must back off, keep one
 * record each, answer 404 only while their data is fresh, and never return to older data.
 */
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

/** Time over which the calls of a throttled node are counted, in milliseconds. */
const COUNTED_MS = 3_000;

describe('a store that throttles', () => {
  it('gets calls at growing intervals, and serves the node once it no longer throttles', async () => {
    const machine = await mesh.add('desk');
    mesh.configure(ROUTES);
    await mesh.settled();
    machine.view.callsPerSecond = 0;
    mesh.store.wake();
    const before = machine.view.calls;
    await new Promise((resolve) => setTimeout(resolve, COUNTED_MS));
    // The node follows three kinds; each call that fails doubles the backoff, from 0.15 s on.
    expect(machine.view.calls - before).toBeLessThanOrEqual(16);
    expect((await call(machine.node.addresses.clients, '/read/1')).status).toBe(200);
    machine.view.callsPerSecond = Number.POSITIVE_INFINITY;
    const version = mesh.configure([...ROUTES, { name: 'added', service: 'desk' }]);
    await waitFor(() => machine.node.status.version === version);
  });
});

describe('a write that is carried out late', () => {
  it('leaves one record of the node, with its address', async () => {
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
  it('gets 503 while the node may be behind, and 404 while it is not', async () => {
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
  it('replaces no newer data that the node has received', async () => {
    const machine = await mesh.add('desk');
    mesh.configure(ROUTES);
    await mesh.settled();
    const old = mesh.store.revision;
    // The second node is in its own zone, so that both read the store directly.
    const other = await mesh.add('desk', { zone: 'zone-b' });
    const version = mesh.configure([...ROUTES, { name: 'added', service: 'desk' }]);
    await waitFor(() => machine.node.status.version === version);
    await waitFor(() => machine.node.status.ownersPresent === 2);
    machine.view.listsAsOf = old;
    // The history is lost right after the change: the watch ends with 410, then a lagging list
    // follows.
    mesh.configure([...ROUTES, { name: 'added', service: 'desk' }]);
    mesh.store.compact();
    await waitFor(() => !machine.node.status.storeConnected);
    expect(machine.node.status.version).toBeGreaterThanOrEqual(version);
    expect(machine.node.status.ownersPresent).toBe(2);
    expect(other.node.status.version).toBeGreaterThanOrEqual(version);
    expect((await call(machine.node.addresses.clients, '/added/1')).status).toBe(200);
  });
});
