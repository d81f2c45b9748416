/** Nodes that leave for good, as at the end of a roll-out: what they held of quotas is held by the others. */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';

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

async function shareServed(machines: readonly Machine[]): Promise<number> {
  const results: Promise<number>[] = [];
  const startedAt = performance.now();
  const dueAt = () => startedAt + (results.length * 1_000) / SENT_PER_S;
  while (dueAt() < startedAt + SENT_MS) {
    await delay(Math.max(0, dueAt() - performance.now()));
    const machine = machines[results.length % machines.length] as Machine;
    const headers = { [KEY]: 'steady-key' };
    const result = call(machine.node.addresses.clients, '/read/1', { headers });
    results.push(result.then(({ status }) => status));
  }
  const statuses = await Promise.all(results);
  return statuses.filter((status) => status === 200).length / statuses.length;
}

it('a tenant below its limit is refused nothing after half of the nodes have left', async () => {
  for (let index = 0; index < 4; index += 1) {
    await mesh.add('desk', { slots: 40, graceMs: 1_000, bounds: { quota: QUOTA } });
  }
  mesh.configure([{ name: 'read', service: 'desk' }], { tenants: [TENANT] });
  await mesh.settled();
  const stay = mesh.machines.slice(0, 2);
  await Promise.all(mesh.machines.slice(2).map(leave));
  await waitFor(() => stay.every(({ node }) => node.status.ownersPresent === stay.length));
  await delay(FILL_MS);
  expect(await shareServed(stay)).toBeGreaterThanOrEqual(0.97);
}, 20_000);
