import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { MemoryStore, StoreView } from '../../lab/memory-store.js';
import { peerReport } from '../../test/fixtures.js';
import type { PeerClient } from '../peer/peerClient.js';
import type { PeerReport } from '../peer/peerMessages.js';
import type { ObjectStore } from '../source/object-store.js';
import { DirectorySync, type DirectorySyncOptions, NODE_KIND } from './directory-sync.js';
import { OwnerDirectory } from './owner-directory.js';
import { OwnerEntry, type OwnerRecord } from './owner-entry.js';

const ZONES = 7;
const NODES = 195;

/** Time for which the probes of absent owners are recorded, in milliseconds. */
const RECORDED_MS = 12_000;

function recordOf(index: number): OwnerRecord {
  return {
    node: `node-${index}`,
    address: `10.0.${index % ZONES}.${index}:1`,
    zone: `zone-${index % ZONES}`,
    service: 'desk',
  };
}

/** The directory of one node in a large mesh, and the addresses that the node probes. */
function createNode(
  answer: (address: string) => PeerReport | undefined,
  options: Partial<DirectorySyncOptions> = {},
) {
  const own = recordOf(0);
  const probed: string[] = [];
  const clock = { now: () => performance.now() };
  const directory = new OwnerDirectory(own.zone, (record) => {
    const localReport = record.node === own.node ? () => peerReport() : undefined;
    return new OwnerEntry(
      record,
      { run: () => Promise.reject(new Error('not used')) },
      localReport,
    );
  });
  for (let index = 0; index < NODES; index += 1) {
    directory.put(recordOf(index));
  }
  const caller = {
    status: (address: string) => {
      probed.push(address);
      return Promise.resolve(answer(address));
    },
  } as unknown as PeerClient;
  const neverSettles = () => new Promise<never>(() => {});
  const sync = new DirectorySync({
    clock,
    store: { list: neverSettles, watch: neverSettles } as unknown as ObjectStore,
    directory,
    caller,
    own: () => own,
    timing: { waitMs: 1_000, debounceMs: () => 0 },
    onConnected: () => {},
    onOwnerChange: () => {},
    onReport: () => {},
    onUnreadable: () => {},
    ...options,
  });
  return { own, probed, directory, sync };
}

describe('absent owners in a large mesh', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('are probed: all of the own zone, those of other zones at a limited rate', async () => {
    const { own, probed, directory, sync } = createNode(() => undefined);
    const isInOwnZone = (address: string) =>
      directory.findByAddress(address)?.record.zone === own.zone;
    for (const entry of directory.all().filter((each) => !each.isLocal)) {
      entry.markAbsent('silent', performance.now());
    }
    sync.start();
    await vi.advanceTimersByTimeAsync(RECORDED_MS);
    await sync.stop(false);
    const inOwnZone = probed.filter(isInOwnZone);
    const inOtherZones = probed.filter((address) => !isInOwnZone(address));
    expect(new Set(inOwnZone).size).toBe(
      directory.all().filter((entry) => directory.isInOwnZone(entry)).length - 1,
    );
    expect(inOtherZones.length).toBeLessThanOrEqual(RECORDED_MS / 100);
    // Probes go round all owners before one is probed again.
    expect(new Set(inOtherZones).size).toBe(
      Math.min(inOtherZones.length, NODES - new Set(inOwnZone).size - 1),
    );
  });

  it('are present again after they answer a probe', async () => {
    const { directory, sync } = createNode(() => peerReport());
    for (const entry of directory.all().filter((each) => !each.isLocal)) {
      entry.markAbsent('silent', performance.now());
    }
    sync.start();
    await vi.advanceTimersByTimeAsync(30_000);
    await sync.stop(false);
    expect(directory.all().filter((entry) => entry.absenceReason)).toEqual([]);
  });
});

it('notifies all nodes of the own zone and eight others when the back end is ready', () => {
  const { own, probed, directory, sync } = createNode(() => undefined);
  sync.announceReady();
  const zone = directory.all().filter((entry) => directory.isInOwnZone(entry) && !entry.isLocal);
  expect(probed).toEqual(expect.arrayContaining(zone.map((entry) => entry.record.address)));
  expect(probed).not.toContain(own.address);
  expect(probed.length - zone.length).toBe(8);
});

describe('a node whose record was removed', () => {
  const others = [recordOf(1), recordOf(2)];

  /** Lets a node read the records of `others`, then the record `last` and its removal. */
  async function removeRecord(last: OwnerRecord) {
    const store = new MemoryStore();
    for (const record of others) {
      store.put(NODE_KIND, record.node, record);
    }
    const left = new Set<string>();
    const { directory, sync } = createNode(() => undefined, {
      store: new StoreView(store),
      onLeft: (node) => left.add(node),
    });
    sync.start();
    await vi.waitFor(() => expect(sync.isSynced).toBe(true));
    store.put(NODE_KIND, last.node, last);
    store.delete(NODE_KIND, last.node);
    // Once this later change is applied, the removal is applied as well.
    store.put(NODE_KIND, 'node-new', { ...recordOf(3), node: 'node-new', address: '10.9.9.9:1' });
    const has = (node: string) => directory.all().some(({ record }) => record.node === node);
    await vi.waitFor(() => expect(has('node-new')).toBe(true));
    await sync.stop(false);
    return { isKnown: has(last.node), left: [...left] };
  }

  it('is removed from the directory at once if the record was marked as left', async () => {
    const result = await removeRecord({ ...recordOf(1), hasLeft: true });
    expect(result).toEqual({ isKnown: false, left: ['node-1'] });
  });

  it('stays in the directory without the mark, since it may only be cut off', async () => {
    expect(await removeRecord(recordOf(1))).toEqual({ isKnown: true, left: [] });
  });
});
