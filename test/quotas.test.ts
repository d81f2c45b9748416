/**
 * Tenants' quotas over real sockets: in no window do back ends run more of a tenant's requests than
 * its bound allows, also while nodes are killed, restarted or silent, and tenants within their
 * limits are served.
 */
import net from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type ClientResult, call, type Machine, SidecarMesh } from '../lab/sidecar-mesh.js';
import { windowBound } from '../src/tenants/quotaParts.js';
import { tenantSchema } from '../src/tenants/tenant.js';

const KEY = 'spindlepaddle-api-key';
const TENANT = 'spindlepaddle-tenant';
const QUOTA = { windowMs: 1_000, overage: 0.1, slack: 5 };
const ROUTES = [
  { name: 'read', service: 'desk' },
  { name: 'empty', service: 'nobody' },
] as const;
const HOT = { name: 'hot', apiKeys: ['hot-key'], ratePerS: 20, burst: 10 };
const CALM = { name: 'calm', apiKeys: ['calm-key'], ratePerS: 32, burst: 20 };
const FREE = { name: 'free', apiKeys: ['free-key'] };

/** Time in which every quota part fills, in milliseconds. */
const PARTS_FILL_MS = 1_500;

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => {
  mesh.close();
});

async function startMesh(zones: readonly string[]): Promise<Machine[]> {
  for (const zone of zones) {
    await mesh.add('desk', { zone, slots: 40, bounds: { quota: QUOTA } });
  }
  mesh.configure(ROUTES, { tenants: [HOT, CALM, FREE] });
  await mesh.settled();
  await delay(PARTS_FILL_MS);
  return [...mesh.machines];
}

function sendOne(machine: Machine, key: string, path = '/read/1'): Promise<ClientResult> {
  return call(machine.node.addresses.clients, path, { headers: { [KEY]: key } });
}

/** Sends at a steady rate, each request to the next machine; resolves with all statuses. */
async function sendSteadily(
  machines: readonly Machine[],
  key: string,
  perS: number,
  forMs: number,
): Promise<number[]> {
  const endsAt = performance.now() + forMs;
  const results: Promise<ClientResult>[] = [];
  while (performance.now() < endsAt) {
    results.push(sendOne(machines[results.length % machines.length] as Machine, key));
    await delay(1_000 / perS);
  }
  return (await Promise.all(results)).map(({ status }) => status);
}

/** Largest number of a tenant's runs in any window. */
function worstWindow(tenant: string): number {
  const times = mesh
    .runs()
    .filter(({ headers }) => headers[TENANT] === tenant)
    .map(({ at }) => at)
    .sort((left, right) => left - right);
  const counts = times.map(
    (at) => times.filter((each) => each >= at && each < at + QUOTA.windowMs).length,
  );
  return Math.max(0, ...counts);
}

const shareOf = (statuses: readonly number[], status: number): number =>
  statuses.filter((each) => each === status).length / statuses.length;

describe('a tenant that sends six times its limit', () => {
  it('is held to its limit over all nodes, while another tenant is served', async () => {
    const machines = await startMesh(['a', 'a', 'b', 'b', 'c']);
    const [hot, calm] = await Promise.all([
      sendSteadily(machines, 'hot-key', 6 * HOT.ratePerS, 3_000),
      sendSteadily(machines, 'calm-key', 20, 3_000),
    ]);
    expect(worstWindow('hot')).toBeLessThanOrEqual(windowBound(tenantSchema.parse(HOT), QUOTA));
    expect(hot.filter((status) => status === 200).length).toBeGreaterThan(2.5 * HOT.ratePerS);
    expect(shareOf(hot, 429)).toBeGreaterThan(0.5);
    expect(shareOf(calm, 200)).toBeGreaterThanOrEqual(0.97);
  });

  it('is held to its limit while a node is killed and restarted', async () => {
    const machines = await startMesh(['a', 'a', 'b', 'b']);
    const others = machines.slice(1);
    const [hot, calm] = await Promise.all([
      sendSteadily(others, 'hot-key', 6 * HOT.ratePerS, 3_000),
      sendSteadily(others, 'calm-key', 20, 3_000),
      delay(1_000).then(() => machines[0]?.restart()),
    ]);
    expect(worstWindow('hot')).toBeLessThanOrEqual(windowBound(tenantSchema.parse(HOT), QUOTA));
    expect(shareOf(hot, 200)).toBeGreaterThan(0);
    expect(shareOf(calm, 429)).toBeLessThanOrEqual(0.03);
  });
});

describe('a quota', () => {
  it('holds while all nodes are killed and restarted at once', async () => {
    const machines = await startMesh(['a', 'a', 'b', 'b']);
    const [hot] = await Promise.all([
      sendSteadily(machines, 'hot-key', 6 * HOT.ratePerS, 3_000),
      delay(1_000).then(() => Promise.all(machines.map((machine) => machine.restart()))),
    ]);
    expect(worstWindow('hot')).toBeLessThanOrEqual(windowBound(tenantSchema.parse(HOT), QUOTA));
    expect(shareOf(hot, 200)).toBeGreaterThan(0);
  });

  it('holds, and is granted from the other parts, while the holder of one part is silent', async () => {
    const machines = await startMesh(['a', 'a', 'b', 'b']);
    const [first, ...others] = machines as [Machine, ...Machine[]];
    const address = first.node.addresses.peers;
    first.node.close();
    const frozen = net.createServer(() => {});
    const [host = '', port] = address.split(':');
    await new Promise<void>((resolve) => frozen.listen(Number(port), host, resolve));
    const [hot, calm] = await Promise.all([
      sendSteadily(others, 'hot-key', 6 * HOT.ratePerS, 3_000),
      sendSteadily(others, 'calm-key', 10, 3_000),
    ]);
    frozen.close();
    expect(worstWindow('hot')).toBeLessThanOrEqual(windowBound(tenantSchema.parse(HOT), QUOTA));
    expect(shareOf(hot, 200)).toBeGreaterThan(0);
    // The other holders have at least half of the limit of 32 a second.
    expect(shareOf(calm, 429)).toBeLessThanOrEqual(0.03);
  });
});

describe('a burst of requests', () => {
  it('gets 429 with a Retry-After above the limit, and a log line with the limit and its holders', async () => {
    const [first] = (await startMesh(['a', 'a'])) as [Machine, Machine];
    const results = await Promise.all(Array.from({ length: 60 }, () => sendOne(first, 'hot-key')));
    const refused = results.filter(({ status }) => status === 429);
    expect(refused.length).toBeGreaterThan(10);
    for (const { headers } of refused) {
      const retryAfterS = Number(headers['retry-after']);
      expect(retryAfterS).toBeGreaterThan(0);
      expect(retryAfterS).toBeLessThanOrEqual(1);
    }
    expect(first.lines.find(({ code }) => code === 'over-quota')).toMatchObject({
      event: 'request',
      tenant: 'hot',
      status: 429,
      offers: [],
      quota: { ratePerS: 20, burst: 10, holders: 2, isHolder: true },
    });
  });

  it('is served if its tenant has no limit', async () => {
    const [first] = (await startMesh(['a', 'a'])) as [Machine, Machine];
    const results = await Promise.all(Array.from({ length: 80 }, () => sendOne(first, 'free-key')));
    expect(results.every(({ status }) => status === 200)).toBe(true);
  });

  it('uses none of the quota if no owner is present', async () => {
    const [first] = (await startMesh(['a', 'a'])) as [Machine, Machine];
    for (let sent = 0; sent < 60; sent += 1) {
      expect((await sendOne(first, 'hot-key', '/empty/1')).status).toBe(503);
    }
    expect((await sendOne(first, 'hot-key')).status).toBe(200);
  });
});
