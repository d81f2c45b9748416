/**
 * Roll-outs over real sockets while the store is unavailable to all machines of one version. These
 * receive the order only from the other nodes, and a bad version must still be rolled back in time
 * and within its bound.
 */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';
import { evidence, hasEnded, orderRollout, ROLLOUT_BOUNDS, statusOf } from './rolloutOrders.js';

const DURATION_S = 10;

/** Interval between two requests of a client, in milliseconds. */
const REQUEST_INTERVAL_MS = 40;

let mesh: SidecarMesh;
let timers: NodeJS.Timeout[];

beforeEach(() => {
  mesh = new SidecarMesh();
  timers = [];
});

afterEach(() => {
  timers.forEach(clearInterval);
  mesh.close();
});

async function add(version: string): Promise<Machine[]> {
  const machines: Machine[] = [];
  for (const zone of ['zone-a', 'zone-b', 'zone-a']) {
    const common = { zone, version, bounds: { rollout: ROLLOUT_BOUNDS }, slots: 8 };
    const machine = await mesh.add('desk', common);
    machine.application.serviceMs = 20;
    machines.push(machine);
  }
  return machines;
}

it.each(['v1', 'v2'])(
  'rolls a bad version back within its bound while the store is unavailable to all machines of %s',
  async (cutOffVersion) => {
    const machines = { v1: await add('v1'), v2: [] as Machine[] };
    mesh.configure([{ name: 'read', service: 'desk' }]);
    await mesh.settled();
    const statuses: number[] = [];
    timers = machines.v1.map(({ node }) =>
      setInterval(
        () =>
          void call(node.addresses.clients, '/read/1').then(({ status }) => statuses.push(status)),
        REQUEST_INTERVAL_MS,
      ),
    );
    machines.v2 = await add('v2');
    for (const { application } of machines.v2) {
      application.fateOf = () => (Math.random() < 0.5 ? { status: 500 } : {});
    }
    await mesh.settled();
    for (const { view } of machines[cutOffVersion as 'v1' | 'v2']) {
      view.failure = 'unavailable';
    }
    const runsOfBad = () => machines.v2.flatMap(({ application }) => application.runs).length;
    const before = { all: mesh.runs().length, bad: runsOfBad() };
    const orderedAt = performance.now();
    orderRollout(mesh, { service: 'desk', targetVersion: 'v2', durationS: DURATION_S });
    await waitFor(() => hasEnded(mesh, 'desk'));
    expect(performance.now() - orderedAt, evidence(mesh)).toBeLessThan(DURATION_S * 1_000);
    expect(statusOf(mesh, 'desk'), evidence(mesh)).toEqual({
      'target-version': 'v2',
      state: 'rolled_back',
    });
    const all = mesh.runs().length - before.all;
    const { exposureShare, exposureSlack } = ROLLOUT_BOUNDS;
    expect(runsOfBad() - before.bad).toBeLessThanOrEqual(all * exposureShare + exposureSlack);
    expect(statuses.filter((status) => status !== 200 && status !== 500)).toEqual([]);
  },
  30_000,
);
