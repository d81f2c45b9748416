/**
 * Roll-outs when the store is restored from a copy: the status that the system wrote, or the order
 * itself, is missing for a while. Unless nodes repair that, a version that was rolled back is
 * rolled out again, and a running order ends.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';
import { ROLLOUT_KIND } from '../platform/rollouts.js';
import { evidence, hasEnded, orderRollout, ROLLOUT_BOUNDS, statusOf } from './rolloutOrders.js';

const DURATION_S = 9;

/** Requests a second to each of the old machines. */
const RATE = 40;

/** Time from the restore until the operator writes the order again, in milliseconds. */
const REWRITE_DELAY_MS = 1_000;

/**
 * A lost status is written again within this time, in milliseconds; it covers the turns of a few
 * nodes.
 */
const REPAIR_MS = 4_000;

/** Time in which nodes would begin the order again if they did so wrongly, in milliseconds. */
const QUIET_MS = 2_000;

let mesh: SidecarMesh;
let timers: NodeJS.Timeout[];
let statuses: number[];
/** Time of the first write of the order, on the steady clock. */
let orderedAt: number;

beforeEach(() => {
  mesh = new SidecarMesh();
  timers = [];
  statuses = [];
});

afterEach(() => {
  timers.forEach(clearInterval);
  mesh.close();
});

async function add(count: number, version: string): Promise<Machine[]> {
  const machines: Machine[] = [];
  for (let each = 0; each < count; each += 1) {
    const zone = `zone-${each % 2}`;
    const machine = await mesh.add('desk', { zone, version, bounds: { rollout: ROLLOUT_BOUNDS } });
    machine.application.serviceMs = 10;
    machines.push(machine);
  }
  return machines;
}

const order = () =>
  orderRollout(mesh, { service: 'desk', targetVersion: 'v2', durationS: DURATION_S });

/**
 * Starts old machines under load, writes the order, then adds and returns machines of the new
 * version.
 */
async function startRollout(fails: boolean): Promise<Machine[]> {
  const old = await add(3, 'v1');
  mesh.configure([{ name: 'read', service: 'desk' }]);
  await mesh.settled();
  timers = old.map(({ node }) =>
    setInterval(
      () =>
        void call(node.addresses.clients, '/read/1').then(({ status }) => statuses.push(status)),
      1_000 / RATE,
    ),
  );
  order();
  orderedAt = performance.now();
  const fresh = await add(2, 'v2');
  for (const { application } of fresh) {
    application.fateOf = () => (fails ? { status: 500 } : {});
  }
  await mesh.settled();
  return fresh;
}

const runsOf = (machines: readonly Machine[]) =>
  machines.reduce((sum, { application }) => sum + application.runs.length, 0);

const changes = (change: string) =>
  mesh.machines.flatMap(({ lines }) => lines.filter((line) => line.change === change));

/** The store's revision just before the order first had this state. */
function revisionBefore(state: string): number {
  const change = mesh.store.log.find(
    ({ kind, object }) =>
      kind === ROLLOUT_KIND && (object.status as { state?: string } | undefined)?.state === state,
  );
  return (change?.revision ?? 1) - 1;
}

/** The store's revision at the first write of the order. */
function orderRevision(): number {
  return mesh.store.log.find(({ kind }) => kind === ROLLOUT_KIND)?.revision ?? 0;
}

it('keeps a version rolled back whose status is lost, and writes that again', async () => {
  const fresh = await startRollout(true);
  await waitFor(() => hasEnded(mesh, 'desk'));
  await waitFor(() => changes('order').length >= mesh.machines.length);
  const ran = runsOf(fresh);
  const restoredAt = performance.now();
  mesh.store.restore(revisionBefore('rolled_back'));
  expect(hasEnded(mesh, 'desk')).toBe(false);
  await waitFor(() => hasEnded(mesh, 'desk'));
  expect(performance.now() - restoredAt).toBeLessThan(REPAIR_MS);
  await delay(QUIET_MS);
  expect(statusOf(mesh, 'desk'), evidence(mesh)).toEqual({
    'target-version': 'v2',
    state: 'rolled_back',
  });
  expect(runsOf(fresh) - ran).toBeLessThan(5);
}, 40_000);

it('keeps a version completed whose status is lost, and writes that again', async () => {
  await startRollout(false);
  await waitFor(() => hasEnded(mesh, 'desk'));
  const failed = statuses.filter((status) => status !== 200).length;
  const restoredAt = performance.now();
  mesh.store.restore(revisionBefore('completed'));
  await waitFor(() => hasEnded(mesh, 'desk'));
  expect(performance.now() - restoredAt).toBeLessThan(REPAIR_MS);
  await delay(QUIET_MS);
  expect(statusOf(mesh, 'desk'), evidence(mesh)).toEqual({
    'target-version': 'v2',
    state: 'completed',
  });
  expect(statuses.filter((status) => status !== 200).length).toBe(failed);
}, 40_000);

it('carries an order on that is lost and written again: it ends in the time of the first', async () => {
  const fresh = await startRollout(false);
  await delay(2_000);
  mesh.store.restore(orderRevision() - 1);
  await delay(REWRITE_DELAY_MS);
  order();
  await waitFor(() => hasEnded(mesh, 'desk'));
  const tookMs = performance.now() - orderedAt;
  expect(statusOf(mesh, 'desk'), evidence(mesh)).toEqual({
    'target-version': 'v2',
    state: 'completed',
  });
  expect(tookMs, evidence(mesh)).toBeLessThan(DURATION_S * 1_000);
  expect(runsOf(fresh)).toBeGreaterThan(50);
}, 40_000);
