/**
 * Guards against a node that sends no tasks, or none for minutes, to a back end that has drained or
 * crashed and started again under the same id. It happens if two incarnations with one id are not
 * distinguished: the sequence numbers of the heartbeats start again, so the node ignores them as
 * late, and an id that has drained stays fenced for ever.
 * If the start times (`bornAt`) in heartbeats are ignored, five of these tests fail; the others
 * pass either way.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';

/** Time for which the back end is down after a crash, in milliseconds. */
const DOWN_MS = 60;

const ROUTES = [
  { name: 'read', service: 'desk', timeoutMs: 1_000, maxAttempts: 1 },
  { name: 'grant', service: 'desk', kind: 'unsafe', timeoutMs: 3_000, maxAttempts: 2 },
  { name: 'other', service: 'vault' },
] as const;

let mesh: SidecarMesh;
/** The only machine of `desk`. */
let desk: Machine;
/** Another machine, whose node sends requests to `desk`. */
let entry: Machine;

beforeEach(async () => {
  mesh = new SidecarMesh();
  desk = await mesh.add('desk');
  entry = await mesh.add('vault');
  mesh.configure(ROUTES);
  desk.application.keepsId = true;
  await mesh.settled();
  // The first incarnation has reached a high sequence number, far above those of the next one.
  await desk.application.heartbeat(registrations(), 1_000);
});

afterEach(() => mesh.close());

const registrations = () => desk.node.addresses.registrations;
const read = async (path = '/read/1') => (await call(entry.node.addresses.clients, path)).status;
const isServed = async () => (await read()) === 200;

/** Crashes the back end and waits until its next incarnation has registered. */
async function restartBackEnd(machine: Machine): Promise<void> {
  const { application } = machine;
  const { bornAt } = application;
  application.crash(DOWN_MS);
  await waitFor(() => application.bornAt > bornAt && application.isListening);
  await application.announce(() => machine.node.addresses.registrations);
}

function linesOf(machine: Machine, event: string): Record<string, unknown>[] {
  return machine.lines.filter((line) => line.event === event);
}

describe('a back end that starts again under the same id', () => {
  it('receives tasks again after it has drained', async () => {
    const { application } = desk;
    application.draining = true;
    expect(await application.heartbeat(registrations())).toBe(200);
    expect(await application.deregister(registrations())).toBe(200);
    expect(await read()).toBe(503);
    await restartBackEnd(desk);
    await waitFor(isServed);
    expect(linesOf(desk, 'back-end').at(-1)).toMatchObject({
      instance: application.instance,
      bornAt: application.bornAt,
      state: 'ready',
    });
  });

  it('has its heartbeats accepted, however many the previous incarnation sent', async () => {
    const { application } = desk;
    await restartBackEnd(desk);
    application.slots = 2;
    await application.heartbeat(registrations());
    expect(desk.node.status.owner).toMatchObject({ slots: 2, bornAt: application.bornAt });
  });

  it('stays ready if a drain message of the previous incarnation arrives late', async () => {
    const { application } = desk;
    application.draining = true;
    const lateCall = application.nextBeat(1_001);
    application.draining = false;
    await restartBackEnd(desk);
    expect(await application.sendLate(registrations(), lateCall)).toBe(200);
    expect(desk.node.status.backEndReady).toBe(true);
    expect(await isServed()).toBe(true);
  });

  it('is logged as crashed, with the suspected request, even if it listens again at once', async () => {
    const { application } = desk;
    application.crashesUnder = ({ target }) => target.includes('crash');
    application.crashAfterMs = 10;
    application.crash = withoutDownTime(application);
    expect(await read('/read/crash')).toBe(502);
    await waitFor(() => linesOf(desk, 'crash').length > 0);
    expect(linesOf(desk, 'crash')).toMatchObject([{ instance: application.instance }]);
    expect(linesOf(desk, 'crash')[0]?.suspects).toHaveLength(1);
  });

  it('crashes at most three times under the same request, which is then quarantined', async () => {
    const { application } = desk;
    application.crashesUnder = ({ target }) => target.includes('crash');
    application.crashAfterMs = 10;
    application.crash = withoutDownTime(application);
    const statuses: number[] = [];
    for (let attempt = 0; attempt < 6; attempt += 1) {
      statuses.push(await read('/read/crash'));
      await waitFor(() => linesOf(desk, 'crash').length >= application.crashes.length);
      await waitFor(() => desk.node.status.backEndReady);
    }
    expect(application.crashes.length).toBeLessThanOrEqual(3);
    expect(statuses.slice(-2)).toEqual([503, 503]);
    expect(linesOf(entry, 'quarantine').length).toBeGreaterThan(0);
  });

  it('does not run a request again that was lost with the previous incarnation', async () => {
    const { application } = desk;
    application.serviceMs = 600;
    const requestId = 'granted-once';
    const options = { method: 'POST', body: 'b', requestId };
    const pending = call(entry.node.addresses.clients, '/grant/1', options);
    await waitFor(() => mesh.runs().length === 1);
    await restartBackEnd(desk);
    expect((await pending).status).toBe(502);
    application.serviceMs = 5;
    await waitFor(isServed);
    expect(mesh.runs().filter((run) => run.requestId === requestId)).toHaveLength(1);
  });

  it('receives requests at its new address', async () => {
    const { address } = desk.application;
    desk.application.moves = true;
    await restartBackEnd(desk);
    expect(desk.application.address).not.toBe(address);
    expect(await isServed()).toBe(true);
  });

  it('receives requests on the other machine where it listens now', async () => {
    const previous = desk.application;
    const other = await mesh.add('desk', { zone: 'zone-a' });
    await mesh.settled();
    // The previous incarnation ends without deregistering; its id appears again at another node.
    other.application.instance = previous.instance;
    other.application.bornAt = previous.bornAt + 1;
    previous.close();
    await other.application.heartbeat(other.node.addresses.registrations);
    await waitFor(async () => (await read('/read/moved')) === 200);
    const run = mesh.runs().findLast(({ target }) => target === '/read/moved');
    expect(run).toMatchObject({ instance: previous.instance, bornAt: other.application.bornAt });
  });
});

/** A crash after which the back end listens again before its node can notice. */
function withoutDownTime(application: Machine['application']): () => void {
  const crash = application.crash.bind(application);
  return () => crash(0);
}
