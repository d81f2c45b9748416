/**
 * Guards against nodes that use unchecked store entries and heartbeats. Another program may write to
 * the same store or to a node's address: a back end with an unknown service then replaced the one
 * that was present, and a node whose record was overwritten was no longer found.
 * Without the checks each of these tests fails, the second and the last only because the log line
 * about the unreadable entry is missing.
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

function unreadableLines(machine: Machine): Record<string, unknown>[] {
  return machine.lines.filter(({ event }) => event === 'unreadable');
}

describe('a heartbeat or store entry of another writer', () => {
  it('neither adds nor replaces a back end if its service is unknown', async () => {
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
    expect(unreadableLines(desk)).toMatchObject([{ kind: 'heartbeat', name: 'foreign', count: 1 }]);
    // The node still probes its back end, and detects that it has closed.
    application.close();
    await waitFor(async () => (await read()) === 503);
  });

  it('neither adds an owner nor hides one that is present', async () => {
    const specs = [null, 7, [], { address: 5 }, { address: 'x', zone: 'zone-a', service: 'desk' }];
    specs.forEach((spec, index) => {
      mesh.store.put(NODE_KIND, `foreign-${index}`, spec);
    });
    mesh.store.put(NODE_KIND, desk.name, { address: 5 });
    await waitFor(() => unreadableLines(entry).length > 0);
    expect(entry.node.status).toMatchObject({ ownersPresent: 2, ownersAbsent: 0 });
    expect(await read()).toBe(200);
  });

  it('is replaced by the node’s own record if it has overwritten that', async () => {
    const ownRecord = mesh.store.kind(NODE_KIND).get(desk.name)?.spec;
    for (const spec of [{ address: 5 }, { ...(ownRecord as object), service: 'vault' }]) {
      mesh.store.put(NODE_KIND, desk.name, spec);
      await waitFor(
        () =>
          JSON.stringify(mesh.store.kind(NODE_KIND).get(desk.name)?.spec) ===
          JSON.stringify(ownRecord),
      );
    }
  });

  it('is not counted as a crash and does not stop a node', async () => {
    const suspect = { fingerprint: 'f', caller: 'desk', crashes: 3 };
    mesh.store.put(CRASH_KIND, 'foreign-1', { suspects: [{ ...suspect, crashes: 'x' }] });
    mesh.store.put(CRASH_KIND, 'foreign-2', { suspects: [], quarantined: [{ fingerprint: 'f' }] });
    mesh.store.put(CRASH_KIND, 'i-1', { suspects: [suspect], quarantined: [suspect] });
    await waitFor(() => entry.lines.some(({ event }) => event === 'quarantine'));
    expect(unreadableLines(entry)).toMatchObject([{ kind: 'crash-record', name: 'foreign-1' }]);
    expect(await read()).toBe(200);
  });
});
