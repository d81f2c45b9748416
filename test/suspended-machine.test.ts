/**
 * Guards against wrong ages and deadlines after a machine was suspended for some seconds. The
 * steady clock does not count the time of a suspension. If every age and deadline came from it
 * alone, then after the resume a node would still send to a back end that left long ago, treat old
 * store data as fresh, and hold requests whose clients have given up. In these tests a node's
 * steady clock stands still while the other clocks advance.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';

/** Length of the suspension, in milliseconds. */
const SUSPENDED_MS = 10_000;

/**
 * Time until a node relies on the clock that counts from the start of the machine, in milliseconds.
 */
const CLOCK_TRUSTED_MS = 6_500;

/** Upper limit for an immediate reaction of a node, in milliseconds. */
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

const send = (path: string) => call(machine.node.addresses.clients, path, { deadlineMs: 5_000 });

describe('a machine that was suspended', () => {
  it('sends nothing more to a back end that drained before the suspension', async () => {
    machine.application.serviceMs = 300;
    const running = send('/read/1');
    await waitFor(() => machine.application.running === 1);
    const waiting = send('/read/2');
    await delay(20);
    machine.application.draining = true;
    expect(await machine.application.heartbeat(machine.node.addresses.registrations)).toBe(200);
    machine.suspend(SUSPENDED_MS);
    await Promise.all([running, waiting]);
    expect(machine.application.runs.map(({ target }) => target)).toEqual(['/read/1']);
  });

  it('answers 503 rather than 404 for an unknown route until the store has responded again', async () => {
    machine.view.failure = 'unavailable';
    expect((await send('/added/1')).status).toBe(404);
    machine.suspend(SUSPENDED_MS);
    expect((await send('/added/1')).status).toBe(503);
    machine.view.failure = undefined;
    await waitFor(async () => (await send('/added/1')).status === 404);
  });

  it('answers requests at once whose deadline has passed', async () => {
    await delay(CLOCK_TRUSTED_MS);
    machine.application.behaviours.push('stay-silent');
    const held = send('/read/1');
    await waitFor(() => machine.application.runs.length === 1);
    const resumedAt = performance.now();
    machine.suspend(SUSPENDED_MS);
    expect((await held).status).toBe(504);
    expect(performance.now() - resumedAt).toBeLessThan(SOON_MS);
  });
});
