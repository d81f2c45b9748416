/**
 * A zone whose followers read the store through one reader: only the reader may call the store, and
 * the followers must have new versions in force in time when the reader ends or loses the store.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';

const ZONE_SIZE = 7;

/** Configurations must come into force within this time, in milliseconds, by the mesh's setting. */
const APPLY_MS = 1_000;

let mesh: SidecarMesh;

beforeEach(async () => {
  mesh = new SidecarMesh();
  await Promise.all(Array.from({ length: ZONE_SIZE }, () => mesh.add('desk')));
  configure();
  await mesh.settled();
  // All nodes but the reader have become followers.
  await waitFor(() => followers().length === ZONE_SIZE - 1);
});

afterEach(() => {
  mesh.close();
});

function configure(): number {
  const added = { name: `added-${mesh.store.revision}`, service: 'desk' };
  return mesh.configure([{ name: 'read', service: 'desk' }, added]);
}

/** Machines that read through another one, by their last log line on that. */
function followers(): Machine[] {
  return mesh.machines.filter((machine) => readerOf(machine) !== undefined);
}

function readerOf(machine: Machine): unknown {
  return machine.lines.findLast(({ event }) => event === 'zone-reader')?.reader;
}

function readerMachine(): Machine {
  const name = readerOf(followers()[0] as Machine);
  return mesh.machines.find((machine) => machine.name === name) as Machine;
}

async function inForceMs(version: number, on: readonly Machine[]): Promise<number> {
  const from = performance.now();
  await waitFor(() => on.every((machine) => machine.node.status.version === version));
  return performance.now() - from;
}

describe('a zone with a reader', () => {
  it('calls the store only from its reader', async () => {
    const before = mesh.machines.map((machine) => machine.view.calls);
    for (let change = 0; change < 5; change += 1) {
      expect(await inForceMs(configure(), mesh.machines)).toBeLessThan(APPLY_MS);
    }
    const calls = mesh.machines.map((machine, index) => machine.view.calls - (before[index] ?? 0));
    const reader = readerMachine();
    for (const [index, machine] of mesh.machines.entries()) {
      expect(calls[index], machine.name).toBeLessThanOrEqual(machine === reader ? 20 : 0);
    }
  });

  it('has a version in force in time when the store is unavailable to its reader', async () => {
    const reader = readerMachine();
    const others = mesh.machines.filter((machine) => machine !== reader);
    reader.view.failure = 'unavailable';
    mesh.store.wake();
    expect(await inForceMs(configure(), others)).toBeLessThan(APPLY_MS);
  });

  it('has a version in force in time when the store does not answer its reader', async () => {
    const reader = readerMachine();
    const others = mesh.machines.filter((machine) => machine !== reader);
    reader.view.watch = () => new Promise(() => {});
    reader.view.list = () => new Promise(() => {});
    reader.view.probe = () => new Promise(() => {});
    // Ends the watch that is pending; the calls after it are never answered.
    mesh.store.wake();
    expect(await inForceMs(configure(), others)).toBeLessThan(APPLY_MS);
  });

  it('has a version in force in time when its reader ends', async () => {
    const reader = readerMachine();
    const others = mesh.machines.filter((machine) => machine !== reader);
    reader.node.close();
    expect(await inForceMs(configure(), others)).toBeLessThan(APPLY_MS);
    expect((await call((others[0] as Machine).node.addresses.clients, '/read/1')).status).toBe(200);
  });

  it('handles a loss of history with one list', async () => {
    const reader = readerMachine();
    // This ends the watches that nodes opened at the start, before they had the nodes of their
    // zone.
    mesh.store.compact();
    expect(await inForceMs(configure(), mesh.machines)).toBeLessThan(APPLY_MS);
    const before = mesh.machines.map((machine) => machine.view.calls);
    mesh.store.compact();
    expect(await inForceMs(configure(), mesh.machines)).toBeLessThan(APPLY_MS);
    for (const [index, machine] of mesh.machines.entries()) {
      const calls = machine.view.calls - (before[index] ?? 0);
      expect(calls, machine.name).toBeLessThanOrEqual(machine === reader ? 8 : 0);
    }
  });

  it('learns of a new node and of one that has left', async () => {
    const added = await mesh.add('desk');
    await mesh.settled();
    await added.node.stop();
    const others = mesh.machines.filter((machine) => machine !== added);
    mesh.store.delete('spindlepaddle-nodes', added.name);
    await waitFor(() => others.every((machine) => machine.node.status.ownersPresent === ZONE_SIZE));
  });
});
