/**
 * Roll-outs over real sockets: a good version is completed in time without a lost request, and a
 * bad version is rolled back in time and within its exposure bound. Both must hold when the leader
 * ends midway or the order is withdrawn or replaced.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { RunFate } from '../lab/application-stand-in.js';
import {
  type ClientResult,
  call,
  type Machine,
  SidecarMesh,
  waitFor,
} from '../lab/sidecar-mesh.js';
import { ROLLOUT_KIND } from '../platform/rollouts.js';
import { rankNames } from '../src/model/rendezvous.js';
import * as orders from './rolloutOrders.js';

const OLD = 'v1';
const NEW = 'v2';
const OLD_MACHINES = 4;
const NEW_MACHINES = 3;

/** Requests a second to each of the old machines. */
const RATE = 40;

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => mesh.close());

const statusOf = () => orders.statusOf(mesh, 'desk');

const hasEnded = () => orders.hasEnded(mesh, 'desk');

/** Every status that the order has had. */
const states = () =>
  mesh.store.log
    .filter(({ kind }) => kind === ROLLOUT_KIND)
    .map(({ object }) => (object.status as { state?: string } | undefined)?.state);

function order(durationS: number, targetVersion = NEW): void {
  orders.orderRollout(mesh, { service: 'desk', targetVersion, durationS });
}

async function addMachines(count: number, version: string): Promise<Machine[]> {
  const machines: Machine[] = [];
  for (let each = 0; each < count; each += 1) {
    const zone = each % 2 === 0 ? 'zone-a' : 'zone-b';
    const machine = await mesh.add('desk', {
      zone,
      version,
      bounds: { rollout: orders.ROLLOUT_BOUNDS },
      slots: 8,
    });
    machine.application.serviceMs = 20;
    machines.push(machine);
  }
  return machines;
}

/** Sends requests at a steady rate until stopped. */
function startClients(machines: readonly Machine[]) {
  const answers: { at: number; result: ClientResult }[] = [];
  const waiting = new Set<Promise<void>>();
  const timers = machines.map((machine) =>
    setInterval(() => {
      const at = performance.now();
      const sent: Promise<void> = call(machine.node.addresses.clients, '/read/1', {
        deadlineMs: 2_000,
      }).then((result) => {
        answers.push({ at, result });
        waiting.delete(sent);
      });
      waiting.add(sent);
    }, 1_000 / RATE),
  );
  return {
    answers,
    stop: async () => {
      timers.forEach(clearInterval);
      await Promise.all(waiting);
    },
  };
}

/** Starts old machines and their clients, writes the order, then adds the new machines. */
async function startRollout(durationS: number, fateOf: () => RunFate = () => ({})) {
  const old = await addMachines(OLD_MACHINES, OLD);
  mesh.configure([{ name: 'read', service: 'desk' }]);
  await mesh.settled();
  const clients = startClients(old);
  const orderedAt = performance.now();
  order(durationS);
  const fresh = await addMachines(NEW_MACHINES, NEW);
  for (const { application } of fresh) {
    application.fateOf = fateOf;
  }
  await mesh.settled();
  return { old, fresh, clients, orderedAt };
}

const runsOf = (machines: readonly Machine[]) =>
  machines.flatMap(({ application }) => application.runs);

describe('roll-outs', () => {
  it('completes a good version in time, after which the old back ends can stop at once', async () => {
    const { old, fresh, clients, orderedAt } = await startRollout(9);
    await waitFor(hasEnded);
    const endedAt = performance.now();
    // The old back ends stop at once, also with requests in flight.
    const cut = runsOf(old).filter((run) => run.cutAt !== undefined).length;
    for (const { application } of old) {
      application.close();
    }
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    await clients.stop();
    expect(statusOf(), orders.evidence(mesh)).toEqual({
      'target-version': NEW,
      state: 'completed',
    });
    expect(endedAt - orderedAt, orders.evidence(mesh)).toBeLessThan(9_000);
    expect(cut).toBe(0);
    const failed = clients.answers.filter(({ result }) => result.status !== 200);
    expect(failed.map(({ result }) => result.status)).toEqual([]);
    expect(runsOf(fresh).length).toBeGreaterThan(100);
    expect(states()).toEqual([undefined, 'running', 'completed']);
  }, 30_000);

  it('continues when the leader ends midway, and completes the order once', async () => {
    const { old, fresh, clients, orderedAt } = await startRollout(10);
    await new Promise((resolve) => setTimeout(resolve, 3_000));
    const all = [...old, ...fresh];
    const [name] = rankNames(
      'rollout/desk',
      all.map((machine) => machine.name),
    );
    const leader = all.find((machine) => machine.name === name) as Machine;
    expect(leader.lines.some(({ change }) => change === 'decision')).toBe(true);
    leader.node.close();
    await waitFor(hasEnded);
    await clients.stop();
    expect(performance.now() - orderedAt, orders.evidence(mesh)).toBeLessThan(10_000);
    expect(states()).toEqual([undefined, 'running', 'completed']);
  }, 30_000);

  it('sends nothing to a version whose order is withdrawn, and completes the next order for it', async () => {
    const { old, fresh, clients } = await startRollout(9);
    mesh.store.delete(ROLLOUT_KIND, 'desk');
    const hasLoggedRemoval = ({ lines }: Machine) =>
      lines.some(({ change }) => change === 'removed');
    await waitFor(() => [...old, ...fresh].every(hasLoggedRemoval));
    // Requests that were sent before every node had the removal end in this time.
    await new Promise((resolve) => setTimeout(resolve, 500));
    const before = runsOf(fresh).length;
    const oldBefore = runsOf(old).length;
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    expect(runsOf(fresh).length).toBe(before);
    // Clients are served meanwhile: they send 160 requests in that second.
    expect(runsOf(old).length).toBeGreaterThan(oldBefore + 40);
    order(8);
    await waitFor(hasEnded);
    await clients.stop();
    expect(statusOf(), orders.evidence(mesh)).toEqual({
      'target-version': NEW,
      state: 'completed',
    });
    expect(runsOf(fresh).length).toBeGreaterThan(before);
  }, 30_000);

  it('decides again on a version whose order ended, was replaced and then written again unchanged', async () => {
    let isBad = true;
    const { clients } = await startRollout(8, () => (isBad ? { status: 500 } : {}));
    await waitFor(hasEnded);
    expect(statusOf(), orders.evidence(mesh)).toEqual({
      'target-version': NEW,
      state: 'rolled_back',
    });
    isBad = false;
    order(8, 'v3');
    await waitFor(() => statusOf()?.['target-version'] === 'v3');
    order(8);
    await waitFor(hasEnded);
    await clients.stop();
    expect(statusOf(), orders.evidence(mesh)).toEqual({
      'target-version': NEW,
      state: 'completed',
    });
  }, 40_000);

  const badVersions: [string, (at: number) => RunFate][] = [
    ['fails half of its requests', () => (Math.random() < 0.5 ? { status: 500 } : {})],
    [
      'takes eight times as long for half of them',
      () => (Math.random() < 0.5 ? { slowness: 8 } : {}),
    ],
    [
      'fails half of them from the third second on',
      (at) => (at > 3_000 && Math.random() < 0.5 ? { status: 500 } : {}),
    ],
  ];

  it.each(badVersions)(
    'rolls a version back that %s',
    async (_name, fate) => {
      const startedAt = performance.now();
      const { old, fresh, clients, orderedAt } = await startRollout(9, () =>
        fate(performance.now() - startedAt),
      );
      await waitFor(hasEnded);
      const endedAt = performance.now();
      await new Promise((resolve) => setTimeout(resolve, 1_500));
      await clients.stop();
      expect(statusOf(), orders.evidence(mesh)).toEqual({
        'target-version': NEW,
        state: 'rolled_back',
      });
      expect(endedAt - orderedAt, orders.evidence(mesh)).toBeLessThan(9_000);
      const exposed = runsOf(fresh);
      const all = runsOf(old).length + exposed.length;
      expect(exposed.length).toBeLessThanOrEqual(
        all * orders.ROLLOUT_BOUNDS.exposureShare + orders.ROLLOUT_BOUNDS.exposureSlack,
      );
      expect(exposed.filter(({ at }) => at > endedAt + 500)).toEqual([]);
    },
    30_000,
  );
});
