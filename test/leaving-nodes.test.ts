/** Nodes that leave for good, as at the end of a roll-out: what they held of quotas is held by the others. */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';
import { windowBound } from '../src/tenants/quotaParts.js';
import { tenantSchema } from '../src/tenants/tenant.js';

const KEY = 'spindlepaddle-api-key';
const TENANT = { name: 'steady', apiKeys: ['steady-key'], ratePerS: 100, burst: 0 };

/** Deep enough for each of the nodes to hold a part. */
const QUOTA = { windowMs: 1_000, overage: 0.1, slack: 40 };

/** What the tenant sends, below its limit but above what half of the parts let through. */
const SENT_PER_S = 90;
const SENT_MS = 2_000;

/** Until every part of a quota is full, in milliseconds. */
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

/** Each request goes to the next machine. */
async function shareServed(
  machines: readonly Machine[],
  perS: number,
  forMs: number,
): Promise<number> {
  const results: Promise<number>[] = [];
  const startedAt = performance.now();
  const dueAt = () => startedAt + (results.length * 1_000) / perS;
  while (dueAt() < startedAt + forMs) {
    await delay(Math.max(0, dueAt() - performance.now()));
    const machine = machines[results.length % machines.length] as Machine;
    const headers = { [KEY]: 'steady-key' };
    const result = call(machine.node.addresses.clients, '/read/1', { headers });
    results.push(result.then(({ status }) => status));
  }
  const statuses = await Promise.all(results);
  return statuses.filter((status) => status === 200).length / statuses.length;
}

async function startMesh(): Promise<{ stay: Machine[]; go: Machine[] }> {
  for (let index = 0; index < 4; index += 1) {
    await mesh.add('desk', { slots: 40, graceMs: 1_000, bounds: { quota: QUOTA } });
  }
  mesh.configure([{ name: 'read', service: 'desk' }], { tenants: [TENANT] });
  await mesh.settled();
  return { stay: mesh.machines.slice(0, 2), go: mesh.machines.slice(2) };
}

it('a tenant below its limit is refused nothing after half of the nodes have left', async () => {
  const { stay, go } = await startMesh();
  await Promise.all(go.map(leave));
  await waitFor(() => stay.every(({ node }) => node.status.ownersPresent === stay.length));
  await delay(FILL_MS);
  expect(await shareServed(stay, SENT_PER_S, SENT_MS)).toBeGreaterThanOrEqual(0.97);
}, 20_000);

it('a tenant far above its limit is held to it while half of the nodes leave', async () => {
  const { stay, go } = await startMesh();
  await delay(FILL_MS);
  // Those that leave take no requests in their last moments: what they let through counts all the same.
  const [served] = await Promise.all([
    shareServed(mesh.machines, 4 * TENANT.ratePerS, 3 * SENT_MS),
    delay(500).then(() => Promise.all(go.map(leave))),
  ]);
  expect(served).toBeGreaterThan(0);
  expect(worstWindow()).toBeLessThanOrEqual(windowBound(tenantSchema.parse(TENANT), QUOTA));
  expect(stay.every(({ node }) => node.status.ownersPresent === stay.length)).toBe(true);
}, 20_000);

/** Most runs of the tenant in any window. */
function worstWindow(): number {
  const times = mesh
    .runs()
    .map(({ at }) => at)
    .sort((left, right) => left - right);
  const counts = times.map(
    (at) => times.filter((each) => each >= at && each < at + QUOTA.windowMs).length,
  );
  return Math.max(0, ...counts);
}
