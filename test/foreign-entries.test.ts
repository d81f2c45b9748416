/**
 * Seen: an entry of the store, and a heartbeat, that no back end and no node had made.
 * How it came about: another program wrote to the same store, and to a node's address.
 * Cause: what was not checked was used: a back end whose service nobody names took the place of the one that
 * was there, and a node whose record was written over was not found any more.
 * Proof: each of these tests fails on the nodes of before: the second and the last for the missing line alone.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';
import { CRASH_KIND } from '../src/directory/crashRecord.js';
import { NODE_KIND } from '../src/directory/directory-sync.js';

let mesh: SidecarMesh;
let desk: Machine;
let entry: Machine;

beforeEach(async () => {
  mesh = new SidecarMesh();
  desk = await mesh.add('desk');
  entry = await mesh.add('vault');
  mesh.configure([
    { name: 'read', service: 'desk' },
    { name: 'other', service: 'vault' },
  ]);
  await mesh.settled();
});

afterEach(() => mesh.close());

const read = async () => (await call(entry.node.addresses.clients, '/read/1')).status;

function unreadable(machine: Machine): Record<string, unknown>[] {
  return machine.lines.filter(({ event }) => event === 'unreadable');
}

describe('what another writer has made', () => {
  it('is no back end, nor in place of one, with a service that nobody names', async () => {
    const { application, node } = desk;
    for (const instance of ['foreign', application.instance]) {
      await application.sendLate(node.addresses.registrations, {
        kind: 'heartbeat',
        beat: {
          instance,
          service: 'unheard-of',
          address: '127.0.0.1:9',
          slots: 4,
          state: 'ready',
          coldRemainingMs: 0,
          sequence: 1_000,
        },
      });
    }
    expect(await read()).toBe(200);
    expect(node.status.owner).toMatchObject({ service: 'desk', ready: true });
    expect(unreadable(desk)).toMatchObject([{ kind: 'heartbeat', name: 'foreign', count: 1 }]);
    // The node still asks its back end whether it is there.
    application.close();
    await waitFor(async () => (await read()) === 503);
  });

  it('is no owner, and hides none that is there', async () => {
    const specs = [null, 7, [], { address: 5 }, { address: 'x', zone: 'zone-a', service: 'desk' }];
    specs.forEach((spec, index) => {
      mesh.store.put(NODE_KIND, `foreign-${index}`, spec);
    });
    mesh.store.put(NODE_KIND, desk.name, { address: 5 });
    await waitFor(() => unreadable(entry).length > 0);
    expect(entry.node.status).toMatchObject({ ownersPresent: 2, ownersAbsent: 0 });
    expect(await read()).toBe(200);
  });

  it('is put right where it stands in place of a node’s own record', async () => {
    const before = mesh.store.kind(NODE_KIND).get(desk.name)?.spec;
    for (const spec of [{ address: 5 }, { ...(before as object), service: 'vault' }]) {
      mesh.store.put(NODE_KIND, desk.name, spec);
      await waitFor(
        () =>
          JSON.stringify(mesh.store.kind(NODE_KIND).get(desk.name)?.spec) ===
          JSON.stringify(before),
      );
    }
  });

  it('is no crash, and ends no node', async () => {
    const crashed = { fingerprint: 'f', caller: 'desk', crashes: 3 };
    mesh.store.put(CRASH_KIND, 'foreign-1', { suspects: [{ ...crashed, crashes: 'x' }] });
    mesh.store.put(CRASH_KIND, 'foreign-2', { suspects: [], quarantined: [{ fingerprint: 'f' }] });
    mesh.store.put(CRASH_KIND, 'i-1', { suspects: [crashed], quarantined: [crashed] });
    await waitFor(() => entry.lines.some(({ event }) => event === 'quarantine'));
    expect(unreadable(entry)).toMatchObject([{ kind: 'crash-record', name: 'foreign-1' }]);
    expect(await read()).toBe(200);
  });
});
