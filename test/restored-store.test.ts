/**
 * Guards against nodes that stay behind when the store is restored from a copy: acknowledged
 * versions were not in force seconds later, and requests on an added route got 404. The store was
 * unavailable for a moment and came back with data some seconds old, so it issued the same
 * revisions again. Nodes that compare only revisions treat lists as lagging until the store's
 * counter has passed its old value. If it passed that value unseen, nodes never request the changes
 * below it. Each such list also makes a zone's reader confirm its old data to its followers.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';
import { openStoreWay, type StoreWay } from '../lab/storeServer.js';
import { PlatformStore } from '../platform/store-client.js';
import { NODE_KIND } from '../src/directory/directory-sync.js';

/** A version must be in force this many milliseconds after its write. */
const APPLY_MS = 2_000;

/** Nodes must have reconnected to a store that is back within this time, in milliseconds. */
const CONTACT_MS = 3_000;

/** Time in which the nodes' watches settle, in milliseconds. */
const SETTLE_MS = 2_500;

/** The store is unavailable for this time, in milliseconds. */
const UNAVAILABLE_MS = 600;

/**
 * Within this time, in milliseconds, nodes have probed an owner whose record is gone, and have
 * removed it if it did not answer.
 */
const REMOVAL_MS = 4_500;

/** Number of changes that the store loses. */
const LOST = 40;

let mesh: SidecarMesh;
let ways: StoreWay[];

beforeEach(() => {
  mesh = new SidecarMesh();
  ways = [];
});

afterEach(() => {
  mesh.close();
  for (const way of ways) {
    way.close();
  }
});

async function add(zone: string): Promise<Machine> {
  const way = await openStoreWay(mesh.store);
  ways.push(way);
  return mesh.add('desk', { zone, applyMs: APPLY_MS, client: new PlatformStore(way.address) });
}

/** Adds machines to the zones in turn; their nodes reach the store over HTTP. */
async function start(machines: number, zones: number): Promise<void> {
  for (let index = 0; index < machines; index += 1) {
    await add(`zone-${index % zones}`);
  }
  configure();
  await mesh.settled();
  await inForce(1);
  await delay(SETTLE_MS);
}

/** Writes a new version, which adds a route with its own number to the routes before. */
function configure(): number {
  const names = Array.from({ length: mesh.version + 1 }, (_, index) => `added-${index + 1}`);
  return mesh.configure(names.map((name) => ({ name, service: 'desk' })));
}

function isInForce(version: number): boolean {
  return mesh.machines.every(({ node }) => node.status.version >= version);
}

const inForce = (version: number) => waitFor(() => isInForce(version));

/** Writes an object of another system this many times, so that the store's revision rises. */
function changeOthers(times: number): void {
  for (let index = 0; index < times; index += 1) {
    mesh.store.put('others', 'counter', { index });
  }
}

function setUnavailable(isUnavailable: boolean): void {
  for (const way of ways) {
    way.view.failure = isUnavailable ? 'unavailable' : undefined;
  }
  mesh.store.wake();
}

/**
 * Makes the store unavailable, then restores it to that revision; `meanwhile` writes to it before
 * any node reaches it.
 */
async function restoreStore(revision: number, meanwhile: () => void = () => {}): Promise<void> {
  setUnavailable(true);
  await delay(UNAVAILABLE_MS);
  mesh.store.restore(revision);
  meanwhile();
  setUnavailable(false);
}

/** Status of a request on the version's route at each node. */
async function statuses(version: number): Promise<number[]> {
  const responses = mesh.machines.map(({ node }) =>
    call(node.addresses.clients, `/added-${version}/1`, { deadlineMs: 1_000 }),
  );
  return (await Promise.all(responses)).map(({ status }) => status);
}

const all = (status: number) => mesh.machines.map(() => status);

describe('a store that is restored from a copy', () => {
  it.each([
    { machines: 4, zones: 4, writtenAfterMs: 100 },
    { machines: 6, zones: 2, writtenAfterMs: 100 },
    { machines: 6, zones: 2, writtenAfterMs: CONTACT_MS },
  ])(
    'delays a change $writtenAfterMs ms later on none of $machines nodes in $zones zones',
    async ({ machines, zones, writtenAfterMs }) => {
      await start(machines, zones);
      const copied = mesh.store.revision;
      changeOthers(LOST);
      await delay(SETTLE_MS);
      await restoreStore(copied);
      await delay(writtenAfterMs);
      const version = configure();
      await delay(Math.max(APPLY_MS, CONTACT_MS - writtenAfterMs));
      expect(mesh.machines.map(({ node }) => node.status.version)).toEqual(all(version));
      expect(await statuses(version)).toEqual(all(200));
    },
  );

  it('hides no change below the old value of its revision counter', async () => {
    await start(6, 2);
    const copied = mesh.store.revision;
    changeOthers(LOST);
    await delay(SETTLE_MS);
    let version = 0;
    await restoreStore(copied, () => {
      version = configure();
      changeOthers(2 * LOST);
    });
    await delay(CONTACT_MS);
    expect(mesh.machines.map(({ node }) => node.status.version)).toEqual(all(version));
    expect(await statuses(version)).toEqual(all(200));
  });

  it('returns no node to its older version, nor a node that restarts afterwards', async () => {
    await start(6, 2);
    const copied = mesh.store.revision;
    const version = configure();
    await inForce(version);
    await restoreStore(copied);
    await delay(CONTACT_MS);
    const restarted = mesh.machines.slice(0, 3);
    const firstVersions: number[] = [];
    for (const machine of restarted) {
      await machine.restart();
      firstVersions.push(await firstVersion(machine));
    }
    expect(firstVersions).toEqual(restarted.map(() => version));
    expect(await statuses(version)).toEqual(all(200));
  });
});

describe('the records of nodes when the store is restored from a copy', () => {
  const recorded = () => [...mesh.store.kind(NODE_KIND).keys()].sort();
  const names = () => mesh.machines.map(({ name }) => name).sort();
  const ownerCounts = (machines: readonly Machine[]) =>
    machines.map(({ node }) => node.status.ownersPresent + node.status.ownersAbsent);

  it('are written again within two seconds, and no node is forgotten meanwhile', async () => {
    await start(5, 2);
    await waitFor(() => recorded().length === 5);
    const copied = mesh.store.revision;
    const joined = await add('zone-1');
    await mesh.settled();
    await delay(SETTLE_MS);
    await restoreStore(copied);
    expect(recorded()).not.toContain(joined.name);
    await waitFor(() => recorded().includes(joined.name));
    await delay(REMOVAL_MS);
    expect(recorded()).toEqual(names());
    expect(ownerCounts(mesh.machines)).toEqual(all(6));
  });

  it('are removed again if their nodes have left, and no other node uses them', async () => {
    await start(5, 2);
    const copied = mesh.store.revision;
    const [leaving, ...staying] = mesh.machines as [Machine, ...Machine[]];
    leaving.application.draining = true;
    await leaving.application.heartbeat(leaving.node.addresses.registrations);
    await leaving.node.stop();
    await waitFor(() => !recorded().includes(leaving.name));
    await delay(REMOVAL_MS);
    expect(ownerCounts(staying)).toEqual(staying.map(() => 4));
    mesh.machines.splice(0, 1);
    await restoreStore(copied);
    expect(recorded()).toContain(leaving.name);
    const counts: number[] = [];
    const until = performance.now() + REMOVAL_MS;
    while (performance.now() < until) {
      counts.push(Math.max(...ownerCounts(staying)));
      await delay(50);
    }
    expect(Math.max(...counts)).toBe(4);
    expect(recorded()).toEqual(names());
  });
});

/** The first version that a node has in force. */
async function firstVersion({ node }: Machine): Promise<number> {
  await waitFor(() => node.status.version > 0);
  return node.status.version;
}
