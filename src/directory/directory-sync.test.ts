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

/** Time for which absent owners are watched, in milliseconds. */
const WATCHED_MS = 12_000;

function recordOf(index: number): OwnerRecord {
  return {
    node: `node-${index}`,
    address: `10.0.${index % ZONES}.${index}:1`,
    zone: `zone-${index % ZONES}`,
    service: 'desk',
  };
}

/** The directory of one node in a large fleet, and whom it asks. */
function fleet(
  answer: (address: string) => PeerReport | undefined,
  options: Partial<DirectorySyncOptions> = {},
) {
  const own = recordOf(0);
  const asked: string[] = [];
  const clock = { now: () => performance.now() };
  const directory = new OwnerDirectory(own.zone, (record) => {
    const live = record.node === own.node ? () => peerReport() : undefined;
    return new OwnerEntry(record, { run: () => Promise.reject(new Error('not used')) }, live);
  });
  for (let index = 0; index < NODES; index += 1) {
    directory.put(recordOf(index));
  }
  const caller = {
    status: (address: string) => {
      asked.push(address);
      return Promise.resolve(answer(address));
    },
  } as unknown as PeerClient;
  const never = () => new Promise<never>(() => {});
  const sync = new DirectorySync({
    clock,
    store: { list: never, watch: never } as unknown as ObjectStore,
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
  return { own, asked, directory, sync };
}

describe('absent owners of a large fleet', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('are asked at a rate that does not grow with their number, near ones first', async () => {
    const { own, asked, directory, sync } = fleet(() => undefined);
    const isNear = (address: string) => directory.findByAddress(address)?.record.zone === own.zone;
    for (const entry of directory.all().filter((each) => !each.isLocal)) {
      entry.markAbsent('silent', performance.now());
    }
    sync.start();
    await vi.advanceTimersByTimeAsync(WATCHED_MS);
    await sync.stop(false);
    const near = asked.filter(isNear);
    const far = asked.filter((address) => !isNear(address));
    expect(new Set(near).size).toBe(
      directory.all().filter((entry) => directory.isInOwnZone(entry)).length - 1,
    );
    expect(far.length).toBeLessThanOrEqual(WATCHED_MS / 100);
    // All take their turn: none is forgotten.
    expect(new Set(far).size).toBe(Math.min(far.length, NODES - new Set(near).size - 1));
  });

  it('are found again when they are back', async () => {
    const { directory, sync } = fleet(() => peerReport());
    for (const entry of directory.all().filter((each) => !each.isLocal)) {
      entry.markAbsent('silent', performance.now());
    }
    sync.start();
    await vi.advanceTimersByTimeAsync(30_000);
    await sync.stop(false);
    expect(directory.all().filter((entry) => entry.absenceReason)).toEqual([]);
  });
});

it('a back end that is ready is announced to its whole zone and to a few of the others', () => {
  const { own, asked, directory, sync } = fleet(() => undefined);
  sync.announceReady();
  const zone = directory.all().filter((entry) => directory.isInOwnZone(entry) && !entry.isLocal);
  expect(asked).toEqual(expect.arrayContaining(zone.map((entry) => entry.record.address)));
  expect(asked).not.toContain(own.address);
  expect(asked.length - zone.length).toBe(8);
});

describe('a node whose record is gone', () => {
  const others = [recordOf(1), recordOf(2)];

  /** The directory of one node that sees these records, then the end of the first one as `last`. */
  async function seeingEndOf(last: OwnerRecord) {
    const store = new MemoryStore();
    for (const record of others) {
      store.put(NODE_KIND, record.node, record);
    }
    const left = new Set<string>();
    const { directory, sync } = fleet(() => undefined, {
      store: new StoreView(store),
      onLeft: (node) => left.add(node),
    });
    sync.start();
    await vi.waitFor(() => expect(sync.isSynced).toBe(true));
    store.put(NODE_KIND, last.node, last);
    store.delete(NODE_KIND, last.node);
    // A change that comes after it is known: so is the end.
    store.put(NODE_KIND, 'node-new', { ...recordOf(3), node: 'node-new', address: '10.9.9.9:1' });
    const has = (node: string) => directory.all().some(({ record }) => record.node === node);
    await vi.waitFor(() => expect(has('node-new')).toBe(true));
    await sync.stop(false);
    return { isKnown: has(last.node), left: [...left] };
  }

  it('is forgotten at once if that said that it leaves', async () => {
    const found = await seeingEndOf({ ...recordOf(1), hasLeft: true });
    expect(found).toEqual({ isKnown: false, left: ['node-1'] });
  });

  it('is asked first if it did not: it may be cut off', async () => {
    expect(await seeingEndOf(recordOf(1))).toEqual({ isKnown: true, left: [] });
  });
});
