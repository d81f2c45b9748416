import { describe, expect, it, vi } from 'vitest';
import { ownerTask } from '../../test/fixtures.js';
import { createCrossZoneBudget, LARGE_BODY_BYTES } from '../directory/crossZoneBudget.js';
import { OwnerDirectory } from '../directory/owner-directory.js';
import { OwnerEntry } from '../directory/owner-entry.js';
import { EMPTY_BODY } from '../owner/message-body.js';
import { createRejection, type Owner, type OwnerOutcome, type OwnerTask } from '../owner/owner.js';
import { createCrashTracker } from '../quarantine/crashTracker.js';
import { Dispatch } from './dispatch.js';
import { createOfferLimit } from './offerLimit.js';
import { createRetryAfterPacer } from './retryAfterPacer.js';
import { SharedRetryBudget } from './shared-retry-budget.js';

const answer = (status: number): OwnerOutcome => ({
  kind: 'answer',
  status,
  headers: [],
  body: EMPTY_BODY,
});
const lost: OwnerOutcome = { kind: 'unknown', reason: 'peer-lost' };
const rejected: OwnerOutcome = { kind: 'not-run', reason: 'rejected-by-back-end', arrived: true };

/** Dispatches one task to owners with prepared outcomes, asked in the order given. */
async function dispatch(
  outcomes: OwnerOutcome[],
  options: {
    repeatable?: boolean;
    maxAttempts?: number;
    slack?: number;
    /** Zones of the owners, in the order of their outcomes; `near` when left out. */
    zones?: string[];
    bodyBytes?: number;
  } = {},
) {
  let asked = 0;
  const mayWait: boolean[] = [];
  const script = [...outcomes];
  const owner: Owner = {
    run: (offered) => {
      asked += 1;
      mayWait.push(offered.mayWait);
      return Promise.resolve(script.shift() ?? lost);
    },
  };
  const directory = new OwnerDirectory('near', (record) => new OwnerEntry(record, owner));
  outcomes.forEach((_, index) => {
    const node = `node-${index}`;
    const zone = options.zones?.[index] ?? 'near';
    directory.put({ node, address: `10.0.0.1:${index}`, zone, service: 'desk' });
  });
  const task = ownerTask({ repeatable: options.repeatable ?? true });
  const retryBudget = new SharedRetryBudget(
    () => ({ ratio: 0.2, windowMs: 10_000, slack: options.slack ?? 64 }),
    () => 1,
  );
  const crossZoneBudget = createCrossZoneBudget();
  while (crossZoneBudget.tryWithdraw()) {
    // A zone that is short of room has used its allowance up.
  }
  const retryAfterPacer = createRetryAfterPacer();
  const offerLimit = createOfferLimit();
  const crashTracker = createCrashTracker();
  const context = {
    clock: { now: () => 0 },
    directory,
    retryBudget,
    crossZoneBudget,
    retryAfterPacer,
    offerLimit,
    crashTracker,
  };
  if (options.slack === 0) {
    retryBudget.withdraw('desk', 0);
  }
  const { result } = await new Dispatch(
    context,
    task,
    options.maxAttempts ?? 2,
    options.bodyBytes ?? 0,
  ).run();
  return {
    asked,
    mayWait,
    status: result.status,
    code: 'code' in result ? result.code : undefined,
    retryAfterMs: 'code' in result ? result.retryAfterMs : undefined,
  };
}

describe('Dispatch', () => {
  it('asks the next owner when one turns the task away, without spending an attempt', async () => {
    const away = createRejection('busy', 50);
    const found = await dispatch([away, away, away, answer(200)], { maxAttempts: 1, slack: 0 });
    expect(found).toMatchObject({ asked: 4, status: 200 });
  });

  it('refuses with the expected wait when every owner is busy', async () => {
    const found = await dispatch([createRejection('busy', 80), createRejection('busy', 120)]);
    expect(found).toEqual({
      asked: 2,
      mayWait: [true, true],
      status: 503,
      code: 'busy',
      retryAfterMs: 120,
    });
  });

  it('sends clients back at the pace of what is served when it has asked enough full owners', async () => {
    const away = createRejection('busy', 50);
    const found = await dispatch(Array.from({ length: 20 }, () => away));
    expect(found).toMatchObject({ asked: 8, status: 503, code: 'busy', retryAfterMs: 50 });
  });

  it('repeats what may be repeated, once, and says 502 when that is lost too', async () => {
    expect(await dispatch([lost, answer(200)])).toMatchObject({ asked: 2, status: 200 });
    expect(await dispatch([lost, lost, answer(200)])).toMatchObject({ asked: 2, status: 502 });
  });

  it('never sends again what may have run and may not be repeated', async () => {
    const found = await dispatch([lost, answer(200)], { repeatable: false });
    expect(found).toMatchObject({ asked: 1, status: 502 });
  });

  it('counts a rejection by a back end as an attempt, and promises "not run" after it', async () => {
    const found = await dispatch([rejected, rejected, answer(200)], { repeatable: false });
    expect(found).toMatchObject({ asked: 2, status: 503 });
  });

  it('does not repeat without a budget', async () => {
    const found = await dispatch([lost, answer(200)], { slack: 0 });
    expect(found).toMatchObject({ asked: 1, status: 502 });
  });

  it.each([true, false])(
    'passes a failure of the back end on at once (repeatable: %s)',
    async (repeatable) => {
      const found = await dispatch([answer(500), answer(200)], { repeatable });
      expect(found).toMatchObject({ asked: 1, status: 500 });
    },
  );

  describe('when the owners of its own zone are busy', () => {
    const away = createRejection('busy', 50);
    const zones = ['near', 'far'];

    it('sends a small request to another zone', async () => {
      expect(await dispatch([away, answer(200)], { zones })).toMatchObject({ status: 200 });
    });

    it('refuses a large one with the time to come back: bytes between zones are dear', async () => {
      const found = await dispatch([away, answer(200)], { zones, bodyBytes: LARGE_BODY_BYTES });
      expect(found).toEqual({
        asked: 1,
        mayWait: [true],
        status: 503,
        code: 'busy',
        retryAfterMs: 50,
      });
    });
  });

  it('queues in its own zone, and takes only free slots of another while its own is up', async () => {
    const zones = ['near', 'far'];
    const busy = await dispatch([createRejection('busy', 50), answer(200)], { zones });
    expect(busy.mayWait).toEqual([true, false]);
    const alone = await dispatch([createRejection('draining'), answer(200)], { zones });
    expect(alone.mayWait).toEqual([true, true]);
  });

  it('looks for room in other zones once two owners of its own have had none', async () => {
    const away = createRejection('busy', 50);
    const zones = ['near', 'near', 'near', 'near', 'far', 'far'];
    const found = await dispatch([away, away, answer(200), away, away, away], { zones });
    expect(found.asked).toBe(3);
    expect(found.mayWait).toEqual([true, true, false]);
  });

  it('sends a large request to another zone when no owner of its own is up', async () => {
    const found = await dispatch([createRejection('draining'), answer(200)], {
      zones: ['near', 'far'],
      bodyBytes: LARGE_BODY_BYTES,
    });
    expect(found).toMatchObject({ asked: 2, status: 200 });
  });
});

/** A task at owners that are answered for one by one. */
function heldDispatch(options: { owners: number; maxAttempts?: number; slack?: number }) {
  const offered: { task: OwnerTask; settle: (outcome: OwnerOutcome) => void }[] = [];
  const owner: Owner = {
    run: (task) =>
      new Promise((settle) => {
        offered.push({ task, settle });
        task.cancellation.onCancel(() => settle({ kind: 'unknown', reason: 'cancelled' }));
      }),
  };
  const directory = new OwnerDirectory('near', (record) => new OwnerEntry(record, owner));
  for (let index = 0; index < options.owners; index += 1) {
    const address = `10.0.0.1:${index}`;
    directory.put({ node: `node-${index}`, address, zone: 'near', service: 'desk' });
  }
  const task = ownerTask({ repeatable: true });
  const bound = { ratio: 0, windowMs: 10_000, slack: options.slack ?? 64 };
  const context = {
    clock: { now: () => 0 },
    directory,
    retryBudget: new SharedRetryBudget(
      () => bound,
      () => 1,
    ),
    crossZoneBudget: createCrossZoneBudget(),
    retryAfterPacer: createRetryAfterPacer(),
    offerLimit: createOfferLimit(),
    crashTracker: createCrashTracker(),
  };
  const result = new Dispatch(context, task, options.maxAttempts ?? 2, 0).run();
  return {
    offered,
    task,
    directory,
    status: result.then((ended) => ended.result.status),
    offers: result.then((ended) => ended.offers),
  };
}

describe('an owner that has the request and falls silent', () => {
  it('is not given up while another one is asked: the first answer counts', async () => {
    const { offered, status, directory } = heldDispatch({ owners: 3 });
    offered[0]?.task.onProgress('silent');
    await vi.waitFor(() => expect(offered).toHaveLength(2));
    offered[0]?.settle(answer(200));
    expect(await status).toBe(200);
    expect(offered[1]?.task.cancellation.cancelled).toBe(true);
    await vi.waitFor(() =>
      expect(directory.all().map(({ outstanding }) => outstanding)).toEqual([0, 0, 0]),
    );
  });

  it('is one offer in the log, whether it answers after all or not', async () => {
    const { offered, offers } = heldDispatch({ owners: 3 });
    offered[0]?.task.onProgress('silent');
    await vi.waitFor(() => expect(offered).toHaveLength(2));
    offered[1]?.task.onProgress('silent');
    await vi.waitFor(() => expect(offered).toHaveLength(2));
    offered[0]?.settle(answer(200));
    expect(await offers).toMatchObject([
      { result: 'answer 200', wasSilent: true },
      { result: 'silent' },
    ]);
  });

  it('is cancelled when the other one answers', async () => {
    const { offered, status } = heldDispatch({ owners: 2 });
    offered[0]?.task.onProgress('silent');
    await vi.waitFor(() => expect(offered).toHaveLength(2));
    offered[1]?.settle(answer(200));
    expect(await status).toBe(200);
    expect(offered[0]?.task.cancellation.cancelled).toBe(true);
  });

  it.each([
    ['no other owner', { owners: 1 }],
    ['no attempt left', { owners: 2, maxAttempts: 1 }],
    ['no budget left', { owners: 2, slack: 0 }],
  ])('is waited for when there is %s', async (_reason, options) => {
    const { offered, status } = heldDispatch(options);
    offered[0]?.task.onProgress('silent');
    await new Promise((resolve) => setTimeout(resolve, 10));
    expect(offered).toHaveLength(1);
    offered[0]?.settle(answer(200));
    expect(await status).toBe(200);
  });

  it('does not bring a third owner in while the second works on the request', async () => {
    const { offered, status } = heldDispatch({ owners: 3, maxAttempts: 3 });
    offered[0]?.task.onProgress('silent');
    await vi.waitFor(() => expect(offered).toHaveLength(2));
    offered[0]?.settle(lost);
    await new Promise((resolve) => setTimeout(resolve, 10));
    expect(offered).toHaveLength(2);
    offered[1]?.settle(answer(200));
    expect(await status).toBe(200);
  });

  it('ends with the deadline, as one that may have run the request', async () => {
    const { offered, status, task } = heldDispatch({ owners: 1 });
    offered[0]?.task.onProgress('silent');
    await new Promise((resolve) => setTimeout(resolve, 10));
    task.cancellation.cancel();
    expect(await status).toBe(504);
  });
});
