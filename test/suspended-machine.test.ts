/**
 * Seen: not by users yet; they announced that a machine may be suspended for seconds.
 * How it comes about: the steady clock does not count the time asleep. After waking, the fence of a back
 * end that left long ago stands open, what the store said seems fresh, and requests are held whose
 * clients have given up.
 * Cause: every age and deadline came from the steady clock alone.
 * Proof: nodes whose steady clock stands still while the other clocks move on, as below.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';

const ASLEEP_MS = 10_000;

/** Time until the clock that counts from the start of the machine has proved itself, in milliseconds. */
const PROVEN_MS = 6_500;

/** What a node finds out at once, it finds out within this time, in milliseconds. */
const SOON_MS = 400;

let mesh: SidecarMesh;
let machine: Machine;

beforeEach(async () => {
  mesh = new SidecarMesh();
  machine = await mesh.add('desk', { slots: 1 });
  mesh.configure([{ name: 'read', service: 'desk', timeoutMs: 8_000 }]);
  await mesh.settled();
});

afterEach(() => mesh.close());

const ask = (path: string) => call(machine.node.addresses.clients, path, { deadlineMs: 5_000 });

describe('a machine that was suspended', () => {
  it('sends nothing more to a back end that left before', async () => {
    machine.application.serviceMs = 300;
    const running = ask('/read/1');
    await waitFor(() => machine.application.running === 1);
    const waiting = ask('/read/2');
    await delay(20);
    machine.application.draining = true;
    expect(await machine.application.heartbeat(machine.node.addresses.registrations)).toBe(200);
    machine.suspend(ASLEEP_MS);
    await Promise.all([running, waiting]);
    expect(machine.application.runs.map(({ target }) => target)).toEqual(['/read/1']);
  });

  it('does not say that a route does not exist before the store has been heard again', async () => {
    machine.view.failure = 'unavailable';
    expect((await ask('/added/1')).status).toBe(404);
    machine.suspend(ASLEEP_MS);
    expect((await ask('/added/1')).status).toBe(503);
    machine.view.failure = undefined;
    await waitFor(async () => (await ask('/added/1')).status === 404);
  });

  it('ends requests at once whose time has passed', async () => {
    await delay(PROVEN_MS);
    machine.application.behaviours.push('stay-silent');
    const held = ask('/read/1');
    await waitFor(() => machine.application.runs.length === 1);
    const wokenAt = performance.now();
    machine.suspend(ASLEEP_MS);
    expect((await held).status).toBe(504);
    expect(performance.now() - wokenAt).toBeLessThan(SOON_MS);
  });
});
