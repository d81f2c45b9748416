/**
 * Guards against the incident LIMIT: back ends that had named a limit of requests per second in
 * their answers got 29 requests in 4 s where 19 were allowed. No node read the header, and admission
 * counted only requests at once, never per second. The header by which a back end says that it is
 * leaving was read nowhere either. See docs/incidents/limit.md.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { arrivalsAfterLeaving, limitExcesses } from '../lab/noticeCheck.js';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';
import { type SteadyResult, sendSteadily } from './steadyClients.js';

/** Time after which a limit that was named must be kept, in milliseconds. */
const CONTACT_MS = 1_000;

/** Drain time of the nodes, in milliseconds. */
const DRAIN_MS = 1_000;

/** A request that ends later was not refused at once, in milliseconds. */
const AT_ONCE_MS = 300;

const ROUTES = [
  { name: 'read', service: 'desk', timeoutMs: 1_000, targetLatencyMs: 300, maxAttempts: 2 },
  { name: 'grant', service: 'desk', kind: 'unsafe', timeoutMs: 1_000, maxAttempts: 2 },
  { name: 'report', service: 'desk', timeoutMs: 3_000, targetLatencyMs: 1_500, priority: 2 },
  { name: 'other', service: 'vault' },
] as const;

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => mesh.close());

async function startMesh(deskCount: number): Promise<Machine[]> {
  const desks: Machine[] = [];
  for (let index = 0; index < deskCount; index += 1) {
    desks.push(await mesh.add('desk'));
  }
  await mesh.add('vault');
  mesh.configure(ROUTES);
  await mesh.settled();
  return desks;
}

const ingresses = () => mesh.machines.map(({ node }) => node.addresses.clients);

const load = (perSecond: number, seconds: number, paths: readonly string[] = ['/read/1']) =>
  sendSteadily({ addresses: ingresses, perSecond, seconds, paths });

const noticesOf = ({ application }: Machine) => application.notices;
const excessesOf = (machine: Machine) => limitExcesses(noticesOf(machine), CONTACT_MS);
const arrivedSince = (machine: Machine, at: number) =>
  noticesOf(machine).arrivals.filter((arrival) => arrival.at >= at).length;
const served = (results: readonly SteadyResult[]) =>
  results.filter(({ status }) => status === 200).length;
const linesOf = (machine: Machine, event: string) =>
  machine.lines.filter((line) => line.event === event);

/** Every refused request got its answer at once, may come back later, and has not run. */
function expectTrueRefusals(results: readonly SteadyResult[]): void {
  const ran = new Set(mesh.runs().map(({ requestId }) => requestId));
  for (const { status, headers, requestId, tookMs } of results) {
    expect([200, 503]).toContain(status);
    if (status === 503) {
      expect(Number(headers['retry-after'])).toBeGreaterThan(0);
      expect(ran.has(requestId)).toBe(false);
      expect(tookMs).toBeLessThan(AT_ONCE_MS);
    }
  }
}

describe('a notice of a back end', () => {
  describe('that names a limit', () => {
    it.each([3, 0.5])(
      'keeps all nodes together to %s requests a second, no more and no less',
      async (limit) => {
        const [desk] = (await startMesh(1)) as [Machine];
        await load(40, 1);
        noticesOf(desk).nameLimit(limit);
        await load(40, 1);
        const since = performance.now();
        const results = await load(40, 8, ['/read/1', '/grant/1', '/report/1']);
        expect(excessesOf(desk)).toEqual([]);
        expect(arrivedSince(desk, since)).toBeGreaterThanOrEqual(Math.floor(limit * 8 * 0.8));
        expectTrueRefusals(results);
      },
    );

    it('leaves requests to the other back ends while they can serve', async () => {
      const desks = await startMesh(3);
      await load(60, 1);
      noticesOf(desks[0] as Machine).nameLimit(2);
      noticesOf(desks[1] as Machine).nameLimit(0.4);
      await load(60, 1);
      const results = await load(60, 7, ['/read/1', '/grant/1']);
      for (const desk of desks) {
        expect(excessesOf(desk)).toEqual([]);
      }
      expect(served(results)).toBe(results.length);
    });

    it('holds for retries after failures of another back end', async () => {
      const [limited, failing] = (await startMesh(2)) as [Machine, Machine];
      await load(20, 1);
      noticesOf(limited).nameLimit(2);
      failing.application.behaviours.push(...Array<'reset'>(500).fill('reset'));
      await load(40, 7);
      expect(excessesOf(limited)).toEqual([]);
      expect(failing.application.behaviours.length).toBeLessThan(500);
    });

    it('holds at once when the limit falls', async () => {
      const [desk] = (await startMesh(1)) as [Machine];
      noticesOf(desk).nameLimit(20);
      await load(60, 3);
      noticesOf(desk).nameLimit(1.5);
      await load(60, 7);
      expect(excessesOf(desk)).toEqual([]);
    });

    it('ends with the first answer without it, and all requests are served again', async () => {
      const [desk] = (await startMesh(1)) as [Machine];
      await load(40, 1);
      noticesOf(desk).nameLimit(0.2);
      await load(40, 2);
      noticesOf(desk).nameLimit(undefined);
      await load(40, 3);
      const results = await load(40, 2);
      expect(served(results)).toBe(results.length);
    });

    it('holds after a restart of the node', async () => {
      const [desk] = (await startMesh(1)) as [Machine];
      await load(40, 1);
      noticesOf(desk).nameLimit(0.5);
      await load(40, 2);
      await desk.restart();
      await waitFor(() => desk.node.status.backEndReady);
      await load(40, 6);
      expect(excessesOf(desk)).toEqual([]);
    });

    it('does not hold for the next incarnation', async () => {
      const [desk] = (await startMesh(1)) as [Machine];
      noticesOf(desk).nameLimit(0.5);
      await load(40, 1);
      desk.application.crash(100);
      await waitFor(() => noticesOf(desk).history.at(-1)?.limit === undefined);
      await waitFor(async () => (await call(ingresses()[1] as string, '/read/1')).status === 200);
      const results = await load(40, 1);
      expect(served(results)).toBe(results.length);
    });

    it('is named in the log and in the refusals', async () => {
      const [desk] = (await startMesh(1)) as [Machine];
      noticesOf(desk).nameLimit(0.5);
      const results = await load(40, 2, ['/grant/1']);
      const [refused] = results.filter(({ status }) => status === 503);
      expect(JSON.parse(refused?.body ?? '')).toEqual({ error: 'limited' });
      expect(linesOf(desk, 'notice')).toEqual([
        expect.objectContaining({
          instance: desk.application.instance,
          field: 'limit',
          limitPerS: 0.5,
          source: 'answer',
        }),
      ]);
      const [line] = linesOf(desk, 'task').filter(({ result }) => result === 'not-run limited');
      expect(line).toMatchObject({ instance: desk.application.instance, limitPerS: 0.5 });
    });

    it('is reported once if it cannot be read, without effect', async () => {
      const [desk] = (await startMesh(1)) as [Machine];
      noticesOf(desk).nameLimit('a few');
      const results = await load(40, 2);
      expect(served(results)).toBe(results.length);
      expect(linesOf(desk, 'unreadable')).toEqual([
        expect.objectContaining({ kind: 'limit', name: desk.application.instance }),
      ]);
      noticesOf(desk).nameLimit(0.5);
      await load(40, 1);
      noticesOf(desk).nameLimit('-1');
      const refused = await load(40, 2);
      expect(served(refused)).toBeLessThan(10);
    });
  });

  describe('that reports that it is leaving', () => {
    const leftSince = (machine: Machine) => arrivalsAfterLeaving(noticesOf(machine), DRAIN_MS);

    it('keeps all requests from it, though its heartbeats report that it is ready', async () => {
      const desks = await startMesh(2);
      const [leaving] = desks as [Machine];
      await load(60, 1);
      noticesOf(leaving).leave();
      const sending = load(60, 4, ['/read/1', '/grant/1']);
      await waitFor(() => linesOf(leaving, 'notice').length > 0);
      await leaving.application.heartbeat(leaving.node.addresses.registrations);
      const results = await sending;
      expect(leftSince(leaving)).toEqual([]);
      expect(served(results)).toBe(results.length);
      expect(linesOf(leaving, 'notice')).toEqual([expect.objectContaining({ field: 'leaving' })]);
    });

    it('holds after a restart of the node', async () => {
      const [leaving] = (await startMesh(2)) as [Machine];
      await load(60, 1);
      noticesOf(leaving).leave();
      await load(60, 1);
      await leaving.restart();
      await leaving.application.heartbeat(leaving.node.addresses.registrations);
      await load(60, 3);
      expect(leftSince(leaving)).toEqual([]);
    });

    it('does not hold for the next incarnation', async () => {
      const [desk] = (await startMesh(1)) as [Machine];
      noticesOf(desk).leave();
      await load(20, 1);
      expect((await call(ingresses()[1] as string, '/read/1')).status).toBe(503);
      desk.application.crash(100);
      await waitFor(async () => (await call(ingresses()[1] as string, '/read/1')).status === 200);
    });
  });
});
