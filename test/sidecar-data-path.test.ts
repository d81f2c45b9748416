/**
 * The data path from a client over two hops to a back end. Requests and answers must pass
 * unchanged, and unsafe requests must run at most once, also when a back end resets connections,
 * answers wrongly or early, is silent, or has its address reused by another service.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ApplicationStandIn } from '../lab/application-stand-in.js';
import { call, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => {
  mesh.close();
});

/** Starts two owners of `desk` and one of `vault`, each on its own machine. */
async function threeMachines() {
  const first = await mesh.add('desk');
  const second = await mesh.add('desk');
  const vault = await mesh.add('vault');
  mesh.configure([
    { name: 'read', service: 'desk', timeoutMs: 800 },
    { name: 'grant', service: 'desk', kind: 'unsafe', timeoutMs: 800 },
    { name: 'upload', service: 'vault', kind: 'upload', timeoutMs: 2_000 },
  ]);
  await mesh.settled();
  return { first, second, vault };
}

describe('the two-hop data path', () => {
  it('passes requests to their services unchanged and returns complete answers', async () => {
    const { vault, first } = await threeMachines();
    const address = vault.node.addresses.clients;
    const read = await call(address, '/read/%41/../x?y=%2F', {
      requestId: 'r-1',
      headers: { 'spindlepaddle-caller-service': 'forged', 'X-Other': 'kept' },
    });
    expect(read).toMatchObject({ status: 200, body: 'answer to r-1' });
    expect(read.headers['spindlepaddle-signature']).toBeDefined();
    const [run] = mesh.runs();
    expect(run).toMatchObject({ target: '/read/%41/../x?y=%2F', method: 'GET' });
    expect(run?.headers).toMatchObject({
      'x-request-id': 'r-1',
      'x-other': 'kept',
      'spindlepaddle-caller-service': 'vault',
    });
    const body = 'x'.repeat(300_000);
    const upload = await call(first.node.addresses.clients, '/upload/1', { method: 'POST', body });
    expect(upload.status).toBe(200);
    expect(vault.application.runs[0]?.body).toBe(body);
  });

  it('streams a long upload from another machine', async () => {
    const { vault, first } = await threeMachines();
    const body = 'y'.repeat(3_000_000);
    const upload = await call(first.node.addresses.clients, '/upload/1', { method: 'POST', body });
    expect(upload.status).toBe(200);
    expect(vault.application.runs[0]?.body).toBe(body);
  });

  it.each(['reset', 'answer-another', 'cut-short'] as const)(
    'retries a safe request after the back end fault %s',
    async (behaviour) => {
      const { vault, first } = await threeMachines();
      first.application.behaviours.push(behaviour);
      const statuses: number[] = [];
      while (first.application.behaviours.length > 0) {
        statuses.push((await call(vault.node.addresses.clients, '/read/1')).status);
      }
      expect(new Set(statuses)).toEqual(new Set([200]));
    },
  );

  it.each(['reset', 'answer-another', 'cut-short'] as const)(
    'runs an unsafe request once, and answers 502 rather than "not run", after the back end fault %s',
    async (behaviour) => {
      const { vault, first, second } = await threeMachines();
      first.application.behaviours.push(behaviour);
      second.application.behaviours.push(behaviour);
      const result = await call(vault.node.addresses.clients, '/grant/1', {
        method: 'POST',
        body: 'once',
        requestId: `once-${behaviour}`,
      });
      expect(result.status).toBe(502);
      expect(mesh.runs().filter((run) => run.requestId === `once-${behaviour}`)).toHaveLength(1);
    },
  );

  it('offers an unsafe request to another owner when a back end rejects it', async () => {
    const { vault, first } = await threeMachines();
    first.application.behaviours.push('turn-away');
    const statuses: number[] = [];
    while (first.application.behaviours.length > 0) {
      const options = { method: 'POST', body: 'b' };
      statuses.push((await call(vault.node.addresses.clients, '/grant/1', options)).status);
    }
    expect(new Set(statuses)).toEqual(new Set([200]));
    expect(mesh.runs()).toHaveLength(statuses.length);
  });

  it('serves the next request correctly after an answer that comes before the end of a long body', async () => {
    const { vault, first } = await threeMachines();
    vault.application.behaviours.push('answer-early');
    const body = 'z'.repeat(3_000_000);
    const early = await call(first.node.addresses.clients, '/upload/1', { method: 'POST', body });
    expect([200, 502]).toContain(early.status);
    const next = await call(first.node.addresses.clients, '/upload/2', {
      method: 'POST',
      body: 'short',
      requestId: 'after-early',
    });
    expect(next).toMatchObject({ status: 200, body: 'answer to after-early' });
    const run = vault.application.runs.find(({ requestId }) => requestId === 'after-early');
    expect(run?.body).toBe('short');
  });

  it('runs nothing at another service that reuses the address of a back end', async () => {
    const { vault, first, second } = await threeMachines();
    second.node.close();
    const port = Number(first.application.address.split(':')[1]);
    first.application.close();
    const other = new ApplicationStandIn('reused', 4);
    await waitFor(async () => {
      await other.start(port).catch(() => {});
      return other.isListening;
    });
    for (let index = 0; index < 5; index += 1) {
      const result = await call(vault.node.addresses.clients, `/grant/${index}`, {
        method: 'POST',
        body: 'b',
      });
      expect(result.status).toBe(503);
    }
    expect(other.runs).toEqual([]);
    other.close();
  });

  it('answers 504 at the timeout of the route and cancels the run', async () => {
    const { vault, first, second } = await threeMachines();
    first.application.serviceMs = 5_000;
    second.application.serviceMs = 5_000;
    const result = await call(vault.node.addresses.clients, '/grant/1', {
      method: 'POST',
      body: 'b',
    });
    expect(result.status).toBe(504);
    expect(result.tookMs).toBeGreaterThan(780);
    expect(result.tookMs).toBeLessThan(1_300);
    await waitFor(() => mesh.runs().every((run) => run.cutAt !== undefined));
  });

  it('cancels the run at the back end when the client disconnects', async () => {
    const { vault, first, second } = await threeMachines();
    first.application.serviceMs = 5_000;
    second.application.serviceMs = 5_000;
    const result = await call(vault.node.addresses.clients, '/read/1', { leaveAfterMs: 200 });
    expect(result.status).toBe(0);
    await waitFor(() => mesh.runs().length === 1 && mesh.runs()[0]?.cutAt !== undefined);
    const [run] = mesh.runs();
    expect((run?.cutAt ?? 0) - (run?.at ?? 0)).toBeLessThan(700);
  });

  it('passes the remaining time on to the back end', async () => {
    const { vault } = await threeMachines();
    await call(vault.node.addresses.clients, '/read/1', { deadlineMs: 400 });
    const left = Number(mesh.runs()[0]?.headers['spindlepaddle-deadline-ms']);
    expect(left).toBeGreaterThan(200);
    expect(left).toBeLessThanOrEqual(400);
  });

  it('answers 404 without a route and 503 without a configuration', async () => {
    const { vault } = await threeMachines();
    expect((await call(vault.node.addresses.clients, '/nothing/')).status).toBe(404);
    const empty = new SidecarMesh();
    const machine = await empty.add('desk');
    const early = await call(machine.node.addresses.clients, '/read/1');
    empty.close();
    expect(early.status).toBe(503);
    expect(Number(early.headers['retry-after'])).toBeGreaterThan(0);
  });
});

describe('admission at the owner', () => {
  it('never exceeds the slots of a back end, and refuses at once requests that would be late', async () => {
    // Much longer than it takes to open thirty connections in one process on a loaded machine.
    const serviceMs = 500;
    const only = await mesh.add('desk', { slots: 2 });
    const entry = await mesh.add('vault');
    mesh.configure([
      { name: 'read', service: 'desk', targetLatencyMs: 3 * serviceMs, timeoutMs: 20 * serviceMs },
      { name: 'other', service: 'vault' },
    ]);
    await mesh.settled();
    only.application.serviceMs = serviceMs;
    for (let index = 0; index < 20; index += 1) {
      await call(entry.node.addresses.clients, '/read/warm-up');
    }
    const results = await Promise.all(
      Array.from({ length: 30 }, (_, index) =>
        call(entry.node.addresses.clients, `/read/${index}`),
      ),
    );
    expect(only.application.mostRunning).toBe(2);
    const refused = results.filter((result) => result.status === 503);
    expect(refused.length).toBeGreaterThan(10);
    expect(results.filter((result) => result.status === 200).length).toBeGreaterThanOrEqual(2);
    for (const result of refused) {
      expect(Number(result.headers['retry-after'])).toBeGreaterThan(0);
    }
    const early = refused.filter((result) => result.tookMs < 1.5 * serviceMs);
    expect(early.length).toBeGreaterThan(refused.length / 2);
  });

  it('refuses a waiting request as soon as it would be late, also while no slot becomes free', async () => {
    const only = await mesh.add('desk', { slots: 1 });
    mesh.configure([{ name: 'read', service: 'desk', targetLatencyMs: 300, timeoutMs: 3_000 }]);
    await mesh.settled();
    const address = only.node.addresses.clients;
    await call(address, '/read/first');
    only.application.behaviours.push('stay-silent');
    const silent = call(address, '/read/silent', { leaveAfterMs: 1_500 });
    await waitFor(() => only.node.status.owner.inFlight === 1);
    const waiting = await call(address, '/read/waiting');
    expect(waiting.status).toBe(503);
    expect(waiting.tookMs).toBeLessThan(600);
    await silent;
  });

  it('distributes the requests of a split by its weights', async () => {
    const desk = await mesh.add('desk');
    const vault = await mesh.add('vault');
    const split = [
      { service: 'desk', weight: 70 },
      { service: 'vault', weight: 30 },
    ];
    mesh.configure([{ name: 'read', service: 'desk', split }]);
    await mesh.settled();
    for (let index = 0; index < 100; index += 1) {
      await call(desk.node.addresses.clients, `/read/${index}`);
    }
    expect(Math.abs(vault.application.runs.length - 30)).toBeLessThanOrEqual(1);
  });

  it('avoids a back end that loses answers, and uses it again once it has recovered', async () => {
    const losing = await mesh.add('desk');
    const sound = await mesh.add('desk', { zone: 'zone-b' });
    const entry = await mesh.add('vault');
    mesh.configure([
      { name: 'read', service: 'desk', timeoutMs: 800 },
      { name: 'other', service: 'vault' },
    ]);
    await mesh.settled();
    const read = (index: number) => call(entry.node.addresses.clients, `/read/${index}`);
    losing.application.behaviours.push(...Array<'reset'>(1_000).fill('reset'));
    for (let index = 0; index < 60; index += 1) {
      await read(index);
    }
    const early = losing.application.runs.length;
    expect(early).toBeLessThan(30);
    expect(losing.node.status.owner.failureShare).toBeGreaterThan(0.1);
    expect(sound.application.runs.length).toBeGreaterThan(40);
    losing.application.behaviours.length = 0;
    let served = 0;
    await waitFor(async () => {
      served += 1;
      await read(1_000 + served);
      return losing.application.runs.length > early + 10;
    });
  });
});
