import { describe, expect, it, vi } from 'vitest';
import { dispatchContext } from '../../test/dispatchContext.js';
import { ownerTask } from '../../test/fixtures.js';
import { OwnerDirectory } from '../directory/owner-directory.js';
import { OwnerEntry } from '../directory/owner-entry.js';
import type { Owner } from '../owner/owner.js';
import { Dispatch } from './dispatch.js';

const DEADLINE_AT = 1_000;

/** Cancels a request that a version of its service runs, and counts the version's failures. */
async function cancelAt(now: number): Promise<number> {
  const owner: Owner = {
    run: ({ cancellation }) =>
      new Promise((settle) => {
        cancellation.onCancel(() => settle({ kind: 'unknown', reason: 'cancelled' }));
      }),
  };
  const directory = new OwnerDirectory('near', (record) => new OwnerEntry(record, owner));
  directory.put({ node: 'node-0', address: '10.0.0.1:0', zone: 'near', service: 'desk' });
  const noteFailure = vi.fn();
  const selection = {
    preferred: undefined,
    fallback: undefined,
    noteOffer: () => {},
    noteUndelivered: () => {},
    noteFailure,
  };
  const clock = { now: () => 0 };
  const context = {
    ...dispatchContext(directory, 0),
    clock,
    versionSelector: { select: () => selection, totals: { requests: 0, offers: 0, bad: 0 } },
  };
  const task = ownerTask({ deadlineAt: DEADLINE_AT });
  const ended = new Dispatch(context, task, 1, 0).run();
  clock.now = () => now;
  task.cancellation.cancel();
  await ended;
  return noteFailure.mock.calls.length;
}

describe('a request that is cancelled', () => {
  // Guards against good versions that get no more requests because clients have left.
  it('is no failure of its version before its deadline', async () => {
    expect(await cancelAt(DEADLINE_AT - 1)).toBe(0);
  });

  it('is a failure of its version at its deadline', async () => {
    expect(await cancelAt(DEADLINE_AT)).toBe(1);
  });
});
