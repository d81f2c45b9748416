/** Back ends that never answer part of what they get, nor anything more on that connection. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { call, SidecarMesh } from '../lab/sidecar-mesh.js';

const TIMEOUT_MS = 3_000;

/** Whoever waits so long, in milliseconds, waits for an answer that never comes. */
const LONG_MS = 1_500;

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
  'reads are served elsewhere when a back end %s hangs',
  async (_where, from) => {
    const first = await mesh.add('desk');
    await mesh.add('desk');
    const third = await mesh.add('vault');
    mesh.configure([
      { name: 'read', service: 'desk', timeoutMs: TIMEOUT_MS, maxAttempts: 2 },
      { name: 'upload', service: 'vault', kind: 'upload', timeoutMs: TIMEOUT_MS },
    ]);
    await mesh.settled();
    const address = (from === 'first' ? first : third).node.addresses.clients;
    const askOnce = async () => {
      const startedAt = performance.now();
      const { status } = await call(address, '/read/1');
      return { status, isLong: performance.now() - startedAt > LONG_MS };
    };
    // Long enough that every run shows how long the back end usually takes.
    const ask = async (count: number) => {
      const results = [];
      for (let round = 0; round < count; round += 1) {
        results.push(...(await Promise.all(Array.from({ length: CALLERS }, askOnce))));
      }
      return results;
    };
    await ask(10);
    for (let index = 0; index < ROUNDS * CALLERS; index += 1) {
      first.application.behaviours.push(index % 3 === 0 ? 'stay-silent' : 'serve');
    }
    const results = await ask(ROUNDS);
    const bad = results.filter(({ status, isLong }) => status !== 200 || isLong);
    expect(bad.length).toBeLessThanOrEqual(3);
  },
  60_000,
);
