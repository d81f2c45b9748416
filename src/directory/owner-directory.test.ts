import { describe, expect, it } from 'vitest';
import { peerReport } from '../../test/fixtures.js';
import type { Owner } from '../owner/owner.js';
import { OwnerDirectory } from './owner-directory.js';
import { OwnerEntry, type OwnerRecord } from './owner-entry.js';

const NO_OWNER: Owner = { run: () => Promise.reject(new Error('not used')) };

function record(node: string, overrides: Partial<OwnerRecord> = {}): OwnerRecord {
  return { node, address: `10.0.0.1:${node}`, zone: 'near', service: 'desk', ...overrides };
}

function directoryOf(...records: OwnerRecord[]): OwnerDirectory {
  const directory = new OwnerDirectory(
    'near',
    (each) => new OwnerEntry(each, NO_OWNER),
    () => 0,
  );
  for (const each of records) {
    directory.put(each);
  }
  return directory;
}

function entry(directory: OwnerDirectory, node: string): OwnerEntry {
  return directory.all().find((each) => each.record.node === node) as OwnerEntry;
}

function criteria(priority: number, prefersOwnZone = false) {
  return { service: 'desk', priority, prefersOwnZone };
}

function chosen(directory: OwnerDirectory, now = 0, priority = 1): string | undefined {
  return directory.choose(criteria(priority), new Set(), now)?.record.node;
}

describe('OwnerDirectory', () => {
  it('prefers the own zone, and chooses from others when no owner there is available', () => {
    const directory = directoryOf(record('1'), record('2', { zone: 'far' }));
    expect(chosen(directory)).toBe('1');
    entry(directory, '1').noteRejection('draining', 1, undefined, 0);
    expect(chosen(directory)).toBe('2');
    expect(directory.choose(criteria(1), new Set(directory.all()), 0)).toBeUndefined();
  });

  it('chooses the owner with the shortest expected time', () => {
    const directory = directoryOf(record('1'), record('2'));
    entry(directory, '1').noteReport(peerReport({ inFlight: 4, queued: 2 }), 0);
    entry(directory, '2').noteReport(peerReport({ inFlight: 1 }), 0);
    expect(chosen(directory)).toBe('2');
    entry(directory, '2').outstanding = 9;
    expect(chosen(directory)).toBe('1');
  });

  it('chooses an owner whose limit is reached last, until it may be lifted', () => {
    const directory = directoryOf(record('1'), record('2', { zone: 'far' }));
    const reached = peerReport({ limitPerS: 0.1, limitWaitMs: 10_000 });
    entry(directory, '1').noteReport(reached, 0);
    entry(directory, '2').noteReport(peerReport({ failureShare: 1, inFlight: 20 }), 0);
    expect(chosen(directory)).toBe('2');
    entry(directory, '2').noteRejection('draining', 1, undefined, 0);
    expect(chosen(directory)).toBe('1');
    expect(entry(directory, '1').isLimitReached(499)).toBe(true);
    expect(entry(directory, '1').isLimitReached(500)).toBe(false);
  });

  it('counts an owner with a limit that allows a request as if only its last slot were free', () => {
    const directory = directoryOf(record('1'), record('2'));
    entry(directory, '1').noteReport(peerReport({ limitPerS: 2 }), 0);
    entry(directory, '2').noteReport(peerReport({ inFlight: 2 }), 0);
    expect(chosen(directory)).toBe('2');
    entry(directory, '2').noteReport(peerReport({ inFlight: 4 }), 0);
    expect(chosen(directory)).toBe('1');
  });

  it('knows that limits keep requests from all owners, and ends that when one is lifted', () => {
    const directory = directoryOf(record('1'), record('2'));
    entry(directory, '1').noteRejection('limited', 1, 300, 0);
    expect(directory.areLimited('desk', 10)).toBe(false);
    entry(directory, '2').noteRejection('limited', 1, 300, 0);
    expect(directory.areLimited('desk', 10)).toBe(true);
    expect(chosen(directory, 10)).toBeUndefined();
    entry(directory, '2').noteReport(peerReport(), 20);
    expect(directory.areLimited('desk', 20)).toBe(false);
    expect(chosen(directory, 20)).toBe('2');
  });

  it('chooses an idle owner that has not reported a service time yet', () => {
    const directory = directoryOf(record('1'), record('2'));
    entry(directory, '1').noteReport(peerReport({ inFlight: 1, meanServiceMs: 5 }), 0);
    entry(directory, '2').noteReport(peerReport({ meanServiceMs: undefined }), 0);
    expect(chosen(directory)).toBe('2');
  });

  it('chooses a slow owner again once its report is old', () => {
    const directory = directoryOf(record('1'), record('2'));
    entry(directory, '1').noteReport(peerReport({ meanServiceMs: 500 }), 0);
    entry(directory, '2').noteReport(peerReport({ inFlight: 1 }), 0);
    expect(chosen(directory, 10)).toBe('2');
    entry(directory, '2').noteReport(peerReport({ inFlight: 1 }), 5_000);
    expect(chosen(directory, 5_000)).toBe('1');
  });

  it('offers a busy owner only more urgent tasks during its backoff', () => {
    const directory = directoryOf(record('1'));
    entry(directory, '1').noteRejection('busy', 2, 1_000, 0);
    expect(chosen(directory, 10, 2)).toBeUndefined();
    expect(chosen(directory, 10, 0)).toBe('1');
    expect(chosen(directory, 1_000, 2)).toBe('1');
  });

  it('chooses an absent owner only after it has reported that it is ready', () => {
    const directory = directoryOf(record('1'));
    entry(directory, '1').markAbsent('silent', 0);
    expect(chosen(directory, 60_000)).toBeUndefined();
    entry(directory, '1').noteReport(peerReport({ ready: false }), 60_000);
    expect(chosen(directory, 60_000)).toBeUndefined();
    entry(directory, '1').noteReport(peerReport(), 60_000);
    expect(chosen(directory, 60_000)).toBe('1');
  });

  it('removes a record whose address another node now has', () => {
    const directory = directoryOf(record('1', { address: '10.0.0.9:1' }));
    directory.put(record('2', { address: '10.0.0.9:1' }));
    expect(directory.all().map((each) => each.record.node)).toEqual(['2']);
  });

  it('avoids a failing back end, unless the request prefers the own zone', () => {
    const directory = directoryOf(record('1'), record('2', { zone: 'far' }));
    entry(directory, '1').noteReport(peerReport({ failureShare: 0.4 }), 0);
    entry(directory, '2').noteReport(peerReport({ inFlight: 2 }), 0);
    expect(chosen(directory)).toBe('2');
    expect(directory.choose(criteria(1, true), new Set(), 0)?.record.node).toBe('1');
    // The owner is chosen again once its report is old.
    expect(chosen(directory, 3_000)).toBe('1');
  });

  it('chooses from the own zone when all back ends fail alike', () => {
    const directory = directoryOf(record('1'), record('2', { zone: 'far' }));
    entry(directory, '1').noteReport(peerReport({ failureShare: 0.4 }), 0);
    entry(directory, '2').noteReport(peerReport({ failureShare: 0.4 }), 0);
    expect(chosen(directory)).toBe('1');
  });

  it('includes tasks of other nodes in the load of the local owner', () => {
    const localReport = peerReport({ inFlight: 4, queued: 3 });
    const directory = new OwnerDirectory(
      'near',
      (each) => new OwnerEntry(each, NO_OWNER, each.node === '1' ? () => localReport : undefined),
      () => 0,
    );
    directory.put(record('1'));
    directory.put(record('2'));
    entry(directory, '2').noteReport(peerReport({ inFlight: 1 }), 0);
    expect(chosen(directory)).toBe('2');
    // The saved hop outweighs a short wait only.
    entry(directory, '2').noteReport(peerReport({ inFlight: 4 }), 0);
    expect(chosen(directory)).toBe('1');
  });

  it('includes the transfer time of a body, which matters only on slow links', () => {
    for (const [linkMbps, bodyBytes, node] of [
      [3.5, 60_000, '1'],
      [3.5, 300, '2'],
      [1_000, 60_000, '2'],
      [undefined, 60_000, '2'],
    ] as const) {
      const localReport = peerReport({ inFlight: 3, meanServiceMs: 200 });
      const directory = new OwnerDirectory(
        'near',
        (each) => new OwnerEntry(each, NO_OWNER, each.node === '1' ? () => localReport : undefined),
        () => 0,
        linkMbps,
      );
      directory.put(record('1'));
      directory.put(record('2', linkMbps === undefined ? {} : { linkMbps }));
      entry(directory, '2').noteReport(peerReport({ inFlight: 0, meanServiceMs: 200 }), 0);
      const largeTask = { ...criteria(1), bodyBytes };
      expect(directory.choose(largeTask, new Set(), 0)?.record.node).toBe(node);
    }
  });
});
