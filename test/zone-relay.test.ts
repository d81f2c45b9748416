/** A zone whose nodes read the store by way of a few: its calls, and the loss of a reader. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';

const ZONE_SIZE = 7;

/** Configurations come into force within this time, in milliseconds; the mesh's own setting. */
const APPLY_MS = 1_000;

let mesh: SidecarMesh;

beforeEach(async () => {
  mesh = new SidecarMesh();
  await Promise.all(Array.from({ length: ZONE_SIZE }, () => mesh.add('desk')));
  configure();
  await mesh.settled();
  // Each follower has found its reader.
  await waitFor(() => followers().length === ZONE_SIZE - 1);
});

afterEach(() => {
  mesh.close();
});

function configure(): number {
  const added = { name: `added-${mesh.store.revision}`, service: 'desk' };
  return mesh.configure([{ name: 'read', service: 'desk' }, added]);
}

/** Machines that read by way of another one, as their last line about it says. */
function followers(): Machine[] {
  return mesh.machines.filter((machine) => readerOf(machine) !== undefined);
}

function readerOf(machine: Machine): unknown {
  return machine.lines.findLast(({ event }) => event === 'zone-reader')?.reader;
}

function theReader(): Machine {
  const name = readerOf(followers()[0] as Machine);
  return mesh.machines.find((machine) => machine.name === name) as Machine;
}

async function inForceMs(version: number, on: readonly Machine[]): Promise<number> {
  const from = performance.now();
  await waitFor(() => on.every((machine) => machine.node.status.version === version));
  return performance.now() - from;
}

describe('a zone with a reader', () => {
  it('costs the store the calls of one node, not of all', async () => {
    const before = mesh.machines.map((machine) => machine.view.calls);
    for (let change = 0; change < 5; change += 1) {
      expect(await inForceMs(configure(), mesh.machines)).toBeLessThan(APPLY_MS);
    }
    const calls = mesh.machines.map((machine, index) => machine.view.calls - (before[index] ?? 0));
    const reader = theReader();
    for (const [index, machine] of mesh.machines.entries()) {
      expect(calls[index], machine.name).toBeLessThanOrEqual(machine === reader ? 20 : 0);
    }
  });

  it('has a version in force in time when the store turns its reader away', async () => {
    const reader = theReader();
    const others = mesh.machines.filter((machine) => machine !== reader);
    reader.view.failure = 'unavailable';
    mesh.store.wake();
    expect(await inForceMs(configure(), others)).toBeLessThan(APPLY_MS);
  });

  it('has a version in force in time when its reader hears nothing of the store', async () => {
    const reader = theReader();
    const others = mesh.machines.filter((machine) => machine !== reader);
    reader.view.watch = () => new Promise(() => {});
    reader.view.list = () => new Promise(() => {});
    reader.view.probe = () => new Promise(() => {});
    // The call that was waiting when the way was cut ends with the way.
    mesh.store.wake();
    expect(await inForceMs(configure(), others)).toBeLessThan(APPLY_MS);
  });

  it('has a version in force in time when its reader ends', async () => {
    const reader = theReader();
    const others = mesh.machines.filter((machine) => machine !== reader);
    reader.node.close();
    expect(await inForceMs(configure(), others)).toBeLessThan(APPLY_MS);
    expect((await call((others[0] as Machine).node.addresses.clients, '/read/1')).status).toBe(200);
  });

  it('comes through a loss of history with one list', async () => {
    const reader = theReader();
    // Watches from the start, when no node knew its zone, end with this one.
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
