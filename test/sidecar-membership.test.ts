/**
 * Drains, planned stops, restarts and store failures among sidecars: clients must be served
 * meanwhile, no back end that has left may get work, and no unsafe request may run twice.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => {
  mesh.close();
});

/**
 * Milliseconds after the start of a planned stop, with a grace of four seconds, at which the node
 * accepts no new requests.
 */
const LATE_IN_GRACE_MS = 2_600;

/** Well below the interval between two health checks, in milliseconds. */
const SOON_MS = 400;

const ROUTES = [
  { name: 'read', service: 'desk', timeoutMs: 1_000 },
  { name: 'grant', service: 'desk', kind: 'unsafe', timeoutMs: 3_000 },
  { name: 'other', service: 'vault' },
] as const;

/** Starts three machines. If the entry is alone in its zone, it reads the store directly. */
async function threeMachines(entryZone = 'zone-a'): Promise<[Machine, Machine, Machine]> {
  const first = await mesh.add('desk');
  const second = await mesh.add('desk');
  const entry = await mesh.add('vault', { zone: entryZone });
  mesh.configure(ROUTES);
  await mesh.settled();
  return [first, second, entry];
}

/**
 * The reader through which a machine reads the store, from its last `zone-reader` log line.
 * Undefined if it has none.
 */
function readerOf({ lines }: Machine): unknown {
  return lines.findLast(({ event }) => event === 'zone-reader')?.reader;
}

/** Sends requests one after the other and returns their statuses. */
async function statuses(machine: Machine, count: number): Promise<number[]> {
  const codes: number[] = [];
  for (let index = 0; index < count; index += 1) {
    codes.push((await call(machine.node.addresses.clients, `/read/${index}`)).status);
  }
  return codes;
}

describe('a back end that leaves', () => {
  it('gets no new work once its drain is acknowledged, while the other back end serves', async () => {
    const [first, second, entry] = await threeMachines();
    first.application.draining = true;
    expect(await first.application.heartbeat(first.node.addresses.registrations)).toBe(200);
    const before = first.application.runs.length;
    expect(new Set(await statuses(entry, 20))).toEqual(new Set([200]));
    expect(first.application.runs).toHaveLength(before);
    expect(second.application.runs.length).toBeGreaterThanOrEqual(20);
  });

  it('gets no new work after it has deregistered, also when its node restarts and receives an old heartbeat', async () => {
    const [first, , entry] = await threeMachines();
    expect(await first.application.deregister(first.node.addresses.registrations)).toBe(200);
    first.application.draining = true;
    await first.restart();
    await first.application.heartbeat(first.node.addresses.registrations, 1);
    const before = first.application.runs.length;
    expect(new Set(await statuses(entry, 20))).toEqual(new Set([200]));
    expect(first.application.runs).toHaveLength(before);
  });
});

describe('a back end that changes its slots', () => {
  it('keeps the connections of requests in flight', async () => {
    const [first, second, entry] = await threeMachines();
    first.application.serviceMs = 800;
    second.application.serviceMs = 800;
    const pending = call(entry.node.addresses.clients, '/grant/1', { method: 'POST', body: 'b' });
    await waitFor(() => mesh.runs().length === 1);
    for (const machine of [first, second]) {
      machine.application.slots += 2;
      await machine.application.heartbeat(machine.node.addresses.registrations);
    }
    expect(first.node.status.owner.slots).toBe(6);
    expect((await pending).status).toBe(200);
  });
});

describe('a node that ends', () => {
  it('checks its back end as soon as it has a configuration after its restart', async () => {
    const [first] = await threeMachines();
    await first.restart();
    const from = performance.now();
    await waitFor(() => first.node.status.version > 0);
    await waitFor(() => first.node.status.backEndReady);
    expect(performance.now() - from).toBeLessThan(SOON_MS);
  });

  it('gets no tasks from the others until it is back', async () => {
    const [first, second, entry] = await threeMachines();
    first.node.close();
    expect(new Set(await statuses(entry, 10))).toEqual(new Set([200]));
    expect(second.application.runs.length).toBeGreaterThanOrEqual(10);
    await first.restart();
    await waitFor(() => entry.node.status.ownersPresent === 3);
    await waitFor(async () => {
      await statuses(entry, 2);
      return first.application.runs.length > 0;
    });
  });

  it('leaves an unsafe request in flight with an unknown outcome, and the request does not run again', async () => {
    const [first, second, entry] = await threeMachines();
    first.application.serviceMs = 1_000;
    second.application.serviceMs = 1_000;
    const pending = call(entry.node.addresses.clients, '/grant/1', {
      method: 'POST',
      body: 'b',
      requestId: 'granted-once',
    });
    await waitFor(() => mesh.runs().length === 1);
    const owner = first.application.runs.length === 1 ? first : second;
    owner.node.close();
    expect((await pending).status).toBe(502);
    expect(mesh.runs()).toHaveLength(1);
  });

  it('finishes what is in flight at a planned stop and is not ready meanwhile', async () => {
    const [first, second, entry] = await threeMachines();
    first.application.serviceMs = 1_500;
    second.application.serviceMs = 1_500;
    const pending = call(entry.node.addresses.clients, '/grant/1', { method: 'POST', body: 'b' });
    await waitFor(() => mesh.runs().length === 1);
    const stopping = entry.node.stop();
    expect((await call(entry.node.addresses.readiness, '/ready')).status).toBe(503);
    expect((await pending).status).toBe(200);
    await stopping;
  });
});

describe('a planned stop with work that outlasts the grace', () => {
  it('accepts no request late in its grace that it would have to abort', async () => {
    const [first, second, entry] = await threeMachines();
    first.application.serviceMs = 10_000;
    second.application.serviceMs = 10_000;
    const pending = call(entry.node.addresses.clients, '/grant/1', { method: 'POST', body: 'b' });
    await waitFor(() => mesh.runs().length === 1);
    const stopping = entry.node.stop();
    await new Promise((resolve) => setTimeout(resolve, LATE_IN_GRACE_MS));
    const late = await call(entry.node.addresses.clients, '/other/late');
    expect(late.status).toBe(0);
    expect(mesh.runs()).toHaveLength(1);
    await Promise.all([pending, stopping]);
  });
});

describe('a planned stop with a long grace', () => {
  it('refuses, from three seconds on, requests that may outlast it, and serves shorter ones', async () => {
    const entry = await mesh.add('desk', { graceMs: 8_000 });
    mesh.configure([{ name: 'read', service: 'desk' }]);
    await mesh.settled();
    const other = await mesh.add('desk');
    await mesh.settled();
    other.application.serviceMs = 100;
    const stopping = entry.node.stop();
    await new Promise((resolve) => setTimeout(resolve, 3_200));
    const { clients } = entry.node.addresses;
    const [short, long] = await Promise.all([
      call(clients, '/read/short', { deadlineMs: 2_000 }),
      call(clients, '/read/long', { deadlineMs: 6_000 }),
    ]);
    expect(short.status).toBe(200);
    expect(long.status).toBe(503);
    expect(long.headers['retry-after']).toBeDefined();
    expect(long.headers.connection).toBe('close');
    await stopping;
  });
});

describe('nodes during store failures', () => {
  it('answer 503 when started without the store, and serve once it is available', async () => {
    const machine = await mesh.add('desk');
    machine.view.failure = 'unavailable';
    mesh.store.wake();
    mesh.configure(ROUTES);
    const early = await call(machine.node.addresses.clients, '/read/1');
    expect(early.status).toBe(503);
    expect((await call(machine.node.addresses.readiness, '/ready')).status).toBe(503);
    machine.view.failure = undefined;
    await mesh.settled();
    expect((await call(machine.node.addresses.clients, '/read/2')).status).toBe(200);
  });

  it('keep serving, and a node that loses the store alone gets new versions from the others', async () => {
    const [, , entry] = await threeMachines('zone-b');
    entry.view.failure = 'unavailable';
    mesh.store.wake();
    await waitFor(() => readerOf(entry) !== undefined);
    expect(new Set(await statuses(entry, 5))).toEqual(new Set([200]));
    const version = mesh.configure([...ROUTES, { name: 'added', service: 'desk' }]);
    await waitFor(async () => {
      await statuses(entry, 1);
      return entry.node.status.version === version;
    });
    expect((await call(entry.node.addresses.clients, '/added/1')).status).toBe(200);
  });

  it('follow new versions without their own access to the store while their reader reaches it', async () => {
    const machines = await threeMachines();
    const isFollower = (machine: Machine) => readerOf(machine) !== undefined;
    await waitFor(() => machines.filter(isFollower).length === 2);
    const follower = machines.find(isFollower) as Machine;
    follower.view.failure = 'unavailable';
    const version = mesh.configure([...ROUTES, { name: 'added', service: 'desk' }]);
    await waitFor(() => follower.node.status.version === version);
    expect(follower.node.status.storeConnected).toBe(true);
    expect((await call(follower.node.addresses.clients, '/added/1')).status).toBe(200);
  });

  it('join through the others after a restart without the store', async () => {
    const [first, , entry] = await threeMachines();
    const restarted = entry.restart();
    entry.view.failure = 'unavailable';
    await restarted;
    await waitFor(async () => {
      await call(first.node.addresses.clients, '/other/1');
      return (await call(entry.node.addresses.readiness, '/ready')).status === 200;
    });
    expect(entry.node.status.storeConnected).toBe(false);
    expect(new Set(await statuses(entry, 10))).toEqual(new Set([200]));
    // Once the store is available again, its list is authoritative.
    mesh.store.delete('spindlepaddle-nodes', first.name);
    entry.view.failure = undefined;
    await waitFor(() => entry.node.status.storeConnected);
    await waitFor(() => mesh.store.kind('spindlepaddle-nodes').has(first.name));
  });

  it('keep owners that respond although their records lapsed, and remove one that does not respond', async () => {
    const [first, second, entry] = await threeMachines();
    for (const { view } of mesh.machines) {
      view.failure = 'unavailable';
    }
    mesh.store.wake();
    await waitFor(() => mesh.machines.every(({ node }) => !node.status.storeConnected));
    for (const { name } of mesh.machines) {
      mesh.store.delete('spindlepaddle-nodes', name);
    }
    // The store becomes available to the entry alone, which then finds no records of the others.
    entry.view.failure = undefined;
    await waitFor(() => mesh.store.kind('spindlepaddle-nodes').has(entry.name));
    second.node.close();
    await waitFor(() => {
      const { ownersPresent, ownersAbsent } = entry.node.status;
      return ownersPresent === 2 && ownersAbsent === 0;
    });
    expect(new Set(await statuses(entry, 5))).toEqual(new Set([200]));
    first.view.failure = undefined;
    await waitFor(() => mesh.store.kind('spindlepaddle-nodes').has(first.name));
  });

  it('follow changes after the history is lost', async () => {
    const [first] = await threeMachines();
    mesh.store.compact();
    const version = mesh.configure([...ROUTES, { name: 'added', service: 'desk' }]);
    await waitFor(() => first.node.status.version === version);
  });

  it('find their own record although the answer to its write was lost', async () => {
    const machine = await mesh.add('desk');
    machine.node.close();
    mesh.store.delete('spindlepaddle-nodes', machine.name);
    const restarted = machine.restart();
    machine.view.answersToLose = 1;
    await restarted;
    await waitFor(() => mesh.store.kind('spindlepaddle-nodes').has(machine.name));
    mesh.configure(ROUTES);
    await mesh.settled();
  });
});
