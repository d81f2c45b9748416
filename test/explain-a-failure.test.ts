/**
 * Checks that log lines alone lead from the id of a failed request to its cause. These are the four
 * worked examples of docs/OPERATIONS.md; `--reporter verbose` prints their log lines.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';

interface Line {
  readonly event: string;
  readonly [field: string]: unknown;
}

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => {
  mesh.close();
});

/** Prints and returns the log lines of a machine that match. */
function linesOf(machine: Machine, matches: (line: Line) => boolean): Line[] {
  const found = (machine.lines as unknown as Line[]).filter(matches);
  for (const line of found) {
    console.log(`${machine.name}: ${JSON.stringify(line)}`);
  }
  return found;
}

describe('from the id of a failed request to its cause', () => {
  it('a refusal under overload: the ingress logs the owners it asked, the owner logs its load', async () => {
    const owner = await mesh.add('desk', { slots: 1 });
    const entry = await mesh.add('vault');
    mesh.configure([
      { name: 'read', service: 'desk', targetLatencyMs: 120, timeoutMs: 1_000 },
      { name: 'other', service: 'vault' },
    ]);
    await mesh.settled();
    owner.application.serviceMs = 100;
    for (let index = 0; index < 10; index += 1) {
      await call(entry.node.addresses.clients, '/read/warm-up');
    }
    const results = await Promise.all(
      Array.from({ length: 6 }, async (_, index) => ({
        id: `overload-${index}`,
        result: await call(entry.node.addresses.clients, '/read/1', {
          requestId: `overload-${index}`,
        }),
      })),
    );
    const refused = results.find(({ result }) => result.status === 503);
    expect(refused).toBeDefined();
    const isAbout = (line: Line) => line.requestId === refused?.id;
    const [atIngress] = linesOf(entry, isAbout);
    expect(atIngress).toMatchObject({ event: 'request', status: 503, code: 'busy' });
    expect(JSON.stringify(atIngress?.offers)).toContain('not-run busy');
    const [atOwner] = linesOf(owner, isAbout);
    expect(atOwner).toMatchObject({ event: 'task', result: 'not-run busy', slots: 1 });
    expect(atOwner?.inFlight).toBe(1);
    expect(Number(atOwner?.meanServiceMs)).toBeGreaterThan(50);
  });

  it('an attempt lost with a killed owner: the offer names the owner and an unknown result', async () => {
    const owner = await mesh.add('desk');
    const entry = await mesh.add('vault');
    mesh.configure([
      { name: 'grant', service: 'desk', kind: 'unsafe', timeoutMs: 3_000 },
      { name: 'other', service: 'vault' },
    ]);
    await mesh.settled();
    owner.application.serviceMs = 2_000;
    const pending = call(entry.node.addresses.clients, '/grant/1', {
      method: 'POST',
      body: 'b',
      requestId: 'lost-1',
    });
    await waitFor(() => mesh.runs().length === 1);
    owner.node.close();
    expect((await pending).status).toBe(502);
    const [line] = linesOf(entry, ({ requestId }) => requestId === 'lost-1');
    expect(line).toMatchObject({ event: 'request', code: 'lost', status: 502 });
    expect(line?.offers).toMatchObject([{ owner: owner.name, result: 'unknown peer-lost' }]);
    const [absent] = linesOf(entry, ({ event }) => event === 'owner');
    expect(absent).toMatchObject({ owner: owner.name, change: 'absent', detail: 'unreachable' });
  });

  it('a request that crashes back ends: its fingerprint leads to the quarantine and the crashes', async () => {
    const [owner, entry] = [await mesh.add('desk'), await mesh.add('desk')];
    mesh.configure([{ name: 'read', service: 'desk' }]);
    await mesh.settled();
    for (const { application } of mesh.machines) {
      application.crashesUnder = ({ target }) => target === '/read/crash';
    }
    const send = (requestId: string) =>
      call(entry.node.addresses.clients, '/read/crash', { requestId });
    await send('crash-1');
    const refused = await send('crash-2');
    expect(refused).toMatchObject({ status: 503, body: '{"error":"quarantined"}\n' });
    const [line] = linesOf(
      entry,
      ({ requestId, event }) => requestId === 'crash-2' && event === 'request',
    );
    expect(line).toMatchObject({ code: 'quarantined', status: 503, offers: [] });
    const isSame = ({ fingerprint }: Line) => fingerprint === line?.fingerprint;
    const lines = [...linesOf(owner, isSame), ...linesOf(entry, isSame)];
    const quarantines = lines.filter(
      ({ event, origin }) => event === 'quarantine' && origin === 'own',
    );
    expect(quarantines).toMatchObject([{ change: 'begun', crashes: 2, caller: 'desk' }]);
    const tasks = lines.filter(({ event }) => event === 'task');
    expect(tasks).toMatchObject(
      Array(2).fill({ requestId: 'crash-1', result: 'unknown connection-lost' }),
    );
    const crashes = mesh.machines.flatMap((machine) =>
      linesOf(machine, ({ event }) => event === 'crash'),
    );
    const crashedInstances = crashes.map(({ instance }) => instance);
    expect(crashedInstances.sort()).toEqual(tasks.map(({ instance }) => instance).sort());
    expect(crashes.flatMap(({ suspects }) => suspects)).toEqual([
      line?.fingerprint,
      line?.fingerprint,
    ]);
  });

  it('a node that cannot reach the store: no version, and a log line when the store was lost', async () => {
    const machine = await mesh.add('desk');
    machine.view.failure = 'unavailable';
    mesh.store.wake();
    const isLost = (line: Line) => line.event === 'store' && !line.connected;
    await waitFor(() => (machine.lines as unknown as Line[]).filter(isLost).length === 3);
    const result = await call(machine.node.addresses.clients, '/read/1', { requestId: 'early-1' });
    expect(result.status).toBe(503);
    const [line] = linesOf(machine, ({ requestId }) => requestId === 'early-1');
    expect(line).toMatchObject({ code: 'no-configuration', version: 0, offers: [] });
    const lost = linesOf(machine, isLost);
    expect(lost.map(({ use }) => use).sort()).toEqual([
      'configuration',
      'directory',
      'quarantines',
    ]);
    expect(lost.map(({ detail }) => detail)).toEqual(Array(3).fill('unavailable'));
  });
});
