/**
 * Guards against quota parts that are lost or used twice when nodes leave for good, as at the end of
 * a roll-out. The parts of the nodes that leave must pass to the nodes that stay.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';
import { windowBound } from '../src/tenants/quotaParts.js';
import { tenantSchema } from '../src/tenants/tenant.js';

const KEY = 'spindlepaddle-api-key';
const TENANT = { name: 'steady', apiKeys: ['steady-key'], ratePerS: 100, burst: 0 };

/** Bounds of a quota that is deep enough for each node to hold a part. */
const QUOTA = { windowMs: 1_000, overage: 0.1, slack: 40 };

/** Requests per second: below the tenant's limit but above what half of the parts admit. */
const SENT_PER_S = 90;
const SENT_MS = 2_000;

/** Time within which every part of a quota has filled up, in milliseconds. */
const FILL_MS = 1_500;

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => {
  mesh.close();
});

async function leave({ application, node }: Machine): Promise<void> {
  application.draining = true;
  await application.heartbeat(node.addresses.registrations);
  await node.stop();
}

/** Sends requests to the machines in turn and returns the share of them that was served. */
async function shareServed(
  machines: readonly Machine[],
  requestsPerS: number,
  durationMs: number,
): Promise<number> {
  const results: Promise<number>[] = [];
  const startedAt = performance.now();
  const dueAt = () => startedAt + (results.length * 1_000) / requestsPerS;
  while (dueAt() < startedAt + durationMs) {
    await delay(Math.max(0, dueAt() - performance.now()));
    const machine = machines[results.length % machines.length] as Machine;
    const headers = { [KEY]: 'steady-key' };
    const result = call(machine.node.addresses.clients, '/read/1', { headers });
    results.push(result.then(({ status }) => status));
  }
  const statuses = await Promise.all(results);
  return statuses.filter((status) => status === 200).length / statuses.length;
}

async function startMesh(): Promise<{ staying: Machine[]; leaving: Machine[] }> {
  for (let index = 0; index < 4; index += 1) {
    await mesh.add('desk', { slots: 40, graceMs: 1_000, bounds: { quota: QUOTA } });
  }
  mesh.configure([{ name: 'read', service: 'desk' }], { tenants: [TENANT] });
  await mesh.settled();
  return { staying: mesh.machines.slice(0, 2), leaving: mesh.machines.slice(2) };
}

it('a tenant below its limit is served after half of the nodes have left', async () => {
  const { staying, leaving } = await startMesh();
  await Promise.all(leaving.map(leave));
  await waitFor(() => staying.every(({ node }) => node.status.ownersPresent === staying.length));
  await delay(FILL_MS);
  expect(await shareServed(staying, SENT_PER_S, SENT_MS)).toBeGreaterThanOrEqual(0.97);
}, 20_000);

it('a tenant far above its limit stays within its quota while half of the nodes leave', async () => {
  const { staying, leaving } = await startMesh();
  await delay(FILL_MS);
  // The nodes that leave accept no requests in their last moments. What they admitted before still
  // counts.
  const [served] = await Promise.all([
    shareServed(mesh.machines, 4 * TENANT.ratePerS, 3 * SENT_MS),
    delay(500).then(() => Promise.all(leaving.map(leave))),
  ]);
  expect(served).toBeGreaterThan(0);
  expect(mostRunsInWindow()).toBeLessThanOrEqual(windowBound(tenantSchema.parse(TENANT), QUOTA));
  expect(staying.every(({ node }) => node.status.ownersPresent === staying.length)).toBe(true);
}, 20_000);

/** Largest number of the tenant's requests that ran in any window. */
function mostRunsInWindow(): number {
  const times = mesh
    .runs()
    .map(({ at }) => at)
    .sort((left, right) => left - right);
  const counts = times.map(
    (at) => times.filter((each) => each >= at && each < at + QUOTA.windowMs).length,
  );
  return Math.max(0, ...counts);
}
