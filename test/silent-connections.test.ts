/**
 * Guards against nodes that stay behind when their open connections go silent without a reset,
 * while new connections work. Only the timeout of a watch showed that its connection was dead, and
 * the next watch went out on another silent connection of the pool, because a call did not use the
 * finding of an earlier one. Seconds after a change was acknowledged, nodes of all zones still
 * applied the version before it, while operators reached the store at once.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { CONFIGURATION_KIND, CONFIGURATION_NAME } from '../lab/labOutside.js';
import { type OpenConnections, trackOpenConnections } from '../lab/openConnections.js';
import { SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';
import { openStoreWay, type StoreWay } from '../lab/storeServer.js';
import { PlatformStore } from '../platform/store-client.js';

/** A version must be in force this many milliseconds after its write. */
const APPLY_MS = 2_000;

/**
 * A node must have reconnected within this time after the loss of its connections, in milliseconds.
 */
const CONTACT_MS = 3_000;

/** Time in which watches, probes and tasks fill their connection pools, in milliseconds. */
const SETTLE_MS = 2_500;

const ROUNDS = 2;

/** Number of connections to the store in a node's pool. */
const POOLED = 4;

enum Silenced {
  Store = 'the store',
  HalfOfStore = 'the store, one in two',
  All = 'the store and nodes',
}

let mesh: SidecarMesh;
let ways: StoreWay[];
let clients: PlatformStore[];
let connections: OpenConnections;

beforeEach(() => {
  connections = trackOpenConnections();
  mesh = new SidecarMesh();
  ways = [];
  clients = [];
});

afterEach(() => {
  mesh.close();
  for (const way of ways) {
    way.close();
  }
  connections.stop();
});

/** Adds machines to the zones in turn; their nodes reach the store over HTTP. */
async function start(machines: number, zones: number): Promise<void> {
  for (let index = 0; index < machines; index += 1) {
    const way = await openStoreWay(mesh.store);
    ways.push(way);
    const client = new PlatformStore(way.address);
    clients.push(client);
    await mesh.add('desk', { zone: `zone-${index % zones}`, applyMs: APPLY_MS, client });
  }
  change();
  await mesh.settled();
}

function change(): number {
  return mesh.configure([
    { name: 'read', service: 'desk' },
    { name: `added-${mesh.store.revision}`, service: 'desk' },
  ]);
}

/** Waits until every node has the version in force; returns the milliseconds until then. */
async function inForceMs(version: number): Promise<number> {
  const from = performance.now();
  await waitFor(() => mesh.machines.every(({ node }) => node.status.version >= version));
  return performance.now() - from;
}

/**
 * Upper limit of the milliseconds from a write until it is in force, including the reconnection.
 */
function boundMs(writtenAfterMs: number): number {
  return Math.max(APPLY_MS, CONTACT_MS - writtenAfterMs);
}

const toStore = (port: number) => ways.some(({ address }) => address.endsWith(`:${port}`));

let checked = 0;

/** Selects the connections that go silent, by their remote port. */
const SILENCED: Readonly<Record<Silenced, (port: number) => boolean>> = {
  [Silenced.Store]: toStore,
  [Silenced.HalfOfStore]: (port) => {
    checked += 1;
    return toStore(port) && checked % 2 === 0;
  },
  [Silenced.All]: () => true,
};

/** Sends `POOLED` calls per node at once, which leave as many connections in its pool. */
async function fillPools(): Promise<void> {
  const calls = clients.flatMap((client) =>
    Array.from({ length: POOLED }, () => client.get(CONFIGURATION_KIND, CONFIGURATION_NAME)),
  );
  await Promise.all(calls);
}

describe('connections that go silent for good while new ones work', () => {
  for (const { machines, zones, silenced, writtenAfterMs } of [
    { machines: 4, zones: 4, silenced: Silenced.Store, writtenAfterMs: 0 },
    { machines: 4, zones: 4, silenced: Silenced.Store, writtenAfterMs: 1_500 },
    { machines: 12, zones: 4, silenced: Silenced.Store, writtenAfterMs: 3_100 },
    { machines: 12, zones: 4, silenced: Silenced.HalfOfStore, writtenAfterMs: 1_500 },
    { machines: 12, zones: 4, silenced: Silenced.All, writtenAfterMs: 0 },
    { machines: 12, zones: 4, silenced: Silenced.All, writtenAfterMs: 1_500 },
    { machines: 12, zones: 4, silenced: Silenced.All, writtenAfterMs: 3_100 },
  ]) {
    it(`to ${silenced} delay a change ${writtenAfterMs} ms later on none of ${machines} nodes in ${zones} zones`, async () => {
      await start(machines, zones);
      const tookMs: number[] = [];
      for (let round = 0; round < ROUNDS; round += 1) {
        await fillPools();
        await delay(SETTLE_MS);
        connections.silence(SILENCED[silenced]);
        await delay(writtenAfterMs);
        tookMs.push(await inForceMs(change()));
      }
      expect(Math.max(...tookMs), `ms in each round: ${tookMs.map(Math.round)}`).toBeLessThan(
        boundMs(writtenAfterMs),
      );
    });
  }
});
