/**
 * Guards against reads that fail or take long while one back end never answers part of its requests,
 * nor any later request on the same connection. Another back end could serve them.
 */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { call, SidecarMesh } from '../lab/sidecar-mesh.js';

const TIMEOUT_MS = 3_000;

/** A call that takes longer has waited for an answer that never comes, in milliseconds. */
const SLOW_MS = 1_500;

const CALLERS = 4;
const ROUNDS = 30;

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => {
  mesh.close();
});

it.each([
  ['beside the ingress', 'first'],
  ['on another machine', 'third'],
] as const)(
  'reads are served by another back end if a back end %s hangs',
  async (_place, ingressOn) => {
    const first = await mesh.add('desk');
    await mesh.add('desk');
    const third = await mesh.add('vault');
    mesh.configure([
      { name: 'read', service: 'desk', timeoutMs: TIMEOUT_MS, maxAttempts: 2 },
      { name: 'upload', service: 'vault', kind: 'upload', timeoutMs: TIMEOUT_MS },
    ]);
    await mesh.settled();
    const address = (ingressOn === 'first' ? first : third).node.addresses.clients;
    const readOnce = async () => {
      const startedAt = performance.now();
      const { status } = await call(address, '/read/1');
      return { status, isSlow: performance.now() - startedAt > SLOW_MS };
    };
    // Ten rounds without faults are enough to show the usual service time of the back end.
    const readRounds = async (count: number) => {
      const results = [];
      for (let round = 0; round < count; round += 1) {
        results.push(...(await Promise.all(Array.from({ length: CALLERS }, readOnce))));
      }
      return results;
    };
    await readRounds(10);
    for (let index = 0; index < ROUNDS * CALLERS; index += 1) {
      first.application.behaviours.push(index % 3 === 0 ? 'stay-silent' : 'serve');
    }
    const results = await readRounds(ROUNDS);
    const bad = results.filter(({ status, isSlow }) => status !== 200 || isSlow);
    expect(bad.length).toBeLessThanOrEqual(3);
  },
  60_000,
);
