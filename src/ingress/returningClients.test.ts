/** A client that is refused, and comes back. */
import { describe, expect, it } from 'vitest';
import { ownerTask } from '../../test/fixtures.js';
import { OwnerDirectory } from '../directory/owner-directory.js';
import { OwnerEntry } from '../directory/owner-entry.js';
import { createSpillAllowance } from '../directory/spillAllowance.js';
import { type OwnerTask, turnedAway } from '../owner/owner.js';
import { createCrashLedger } from '../quarantine/crashLedger.js';
import { Dispatch } from './dispatch.js';
import { createOfferLimit } from './offerLimit.js';
import { createReturnTimes } from './returnTimes.js';
import { SharedRetryBudget } from './shared-retry-budget.js';

const OWNERS = 6;

/** An ingress whose owners are all full; the time is set by hand. */
function fullMesh() {
  const offered: OwnerTask[] = [];
  let now = 0;
  const directory = new OwnerDirectory(
    'near',
    (record) =>
      new OwnerEntry(record, {
        run: (task) => {
          offered.push(task);
          return Promise.resolve(turnedAway('busy', 50));
        },
      }),
  );
  for (let index = 0; index < OWNERS; index += 1) {
    const node = `node-${index}`;
    directory.put({ node, address: `10.0.0.1:${index}`, zone: 'near', service: 'desk' });
  }
  const offerLimit = createOfferLimit(() => 0.99);
  for (let index = 0; index < 100; index += 1) {
    offerLimit.note('read', 1, false);
  }
  const context = {
    clock: { now: () => now },
    directory,
    budget: new SharedRetryBudget(
      () => ({ ratio: 0.2, windowMs: 10_000, slack: 64 }),
      () => 1,
    ),
    spill: createSpillAllowance(),
    returns: createReturnTimes(),
    offerLimit,
    ledger: createCrashLedger(),
  };
  return {
    /** Tasks as owners got them, of one request. */
    ask: async (at: number, fingerprint: string) => {
      now = at;
      offered.length = 0;
      const task = ownerTask({ fingerprint, deadlineAt: at + 3_000, targetAt: at + 1_000 });
      const { result } = await new Dispatch(context, task, 2, 0).run();
      const retryAfterMs = 'code' in result ? (result.retryAfterMs ?? 0) : 0;
      return { offers: [...offered], retryAfterMs };
    },
  };
}

describe('a client that was refused', () => {
  it('is known to owners when it comes back as told, and is offered to more of them', async () => {
    const mesh = fullMesh();
    const first = await mesh.ask(0, 'order');
    expect(first.offers.map(({ hasWaited }) => hasWaited)).toEqual([false]);
    const again = await mesh.ask(first.retryAfterMs, 'order');
    expect(again.offers.length).toBeGreaterThan(1);
    expect(again.offers.every(({ hasWaited }) => hasWaited)).toBe(true);
    // Its target counts from the first try.
    expect(again.offers.every(({ targetAt }) => targetAt === 1_000)).toBe(true);
  });

  it('has no standing when it comes at once, and is told its first time again', async () => {
    const mesh = fullMesh();
    const first = await mesh.ask(0, 'order');
    const hasty = await mesh.ask(20, 'order');
    expect(hasty.offers.some(({ hasWaited }) => hasWaited)).toBe(false);
    expect(hasty.retryAfterMs).toBe(first.retryAfterMs - 20);
  });
});
