import { describe, expect, it, vi } from 'vitest';
import { dispatchContext } from '../../test/dispatchContext.js';
import { ownerTask } from '../../test/fixtures.js';
import { createCrossZoneBudget, LARGE_BODY_BYTES } from '../directory/crossZoneBudget.js';
import { OwnerDirectory } from '../directory/owner-directory.js';
import { OwnerEntry } from '../directory/owner-entry.js';
import { EMPTY_BODY } from '../owner/message-body.js';
import { createRejection, type Owner, type OwnerOutcome, type OwnerTask } from '../owner/owner.js';
import { Dispatch } from './dispatch.js';

const answer = (status: number): OwnerOutcome => ({
  kind: 'answer',
  status,
  headers: [],
  body: EMPTY_BODY,
});
const lost: OwnerOutcome = { kind: 'unknown', reason: 'peer-lost' };
const rejected: OwnerOutcome = { kind: 'not-run', reason: 'rejected-by-back-end', arrived: true };

/** Dispatches one task. The nth offer, to whichever owner, gets the nth outcome. */
async function dispatch(
  outcomes: OwnerOutcome[],
  options: {
    repeatable?: boolean;
    maxAttempts?: number;
    slack?: number;
    /** Zones of the owners, in the order of their outcomes. The default is `near`. */
    zones?: string[];
    bodyBytes?: number;
  } = {},
) {
  let asked = 0;
  const mayWait: boolean[] = [];
  const remaining = [...outcomes];
  const owner: Owner = {
    run: (offered) => {
      asked += 1;
      mayWait.push(offered.mayWait);
      return Promise.resolve(remaining.shift() ?? lost);
    },
  };
  const directory = new OwnerDirectory('near', (record) => new OwnerEntry(record, owner));
  outcomes.forEach((_, index) => {
    const node = `node-${index}`;
    const zone = options.zones?.[index] ?? 'near';
    directory.put({ node, address: `10.0.0.1:${index}`, zone, service: 'desk' });
  });
  const task = ownerTask({ repeatable: options.repeatable ?? true });
  const crossZoneBudget = createCrossZoneBudget();
  while (crossZoneBudget.tryWithdraw()) {
    // Spends the whole budget, as in a zone whose owners have been busy for a while.
  }
  const context = { ...dispatchContext(directory, 0.2, options.slack), crossZoneBudget };
  if (options.slack === 0) {
    context.retryBudget.pay(new Map([['desk', 1]]), 0);
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
  it('offers the task to the next owner after a rejection, without spending an attempt', async () => {
    const busy = createRejection('busy', 50);
    const result = await dispatch([busy, busy, busy, answer(200)], { maxAttempts: 1, slack: 0 });
    expect(result).toMatchObject({ asked: 4, status: 200 });
  });

  it('refuses with the expected wait if every owner is busy', async () => {
    const result = await dispatch([createRejection('busy', 80), createRejection('busy', 120)]);
    expect(result).toEqual({
      asked: 2,
      mayWait: [true, true],
      status: 503,
      code: 'busy',
      retryAfterMs: 120,
    });
  });

  it('goes to another owner if the limit of a back end is reached, and names it otherwise', async () => {
    const limited = createRejection('limited', 400);
    const served = await dispatch([limited, answer(200)], { maxAttempts: 1, slack: 0 });
    expect(served).toMatchObject({ asked: 2, status: 200 });
    const refused = await dispatch([limited, limited]);
    expect(refused).toMatchObject({ status: 503, code: 'limited', retryAfterMs: 400 });
  });

  it('refuses with a time to retry after eight busy owners', async () => {
    const busy = createRejection('busy', 50);
    const result = await dispatch(Array.from({ length: 20 }, () => busy));
    expect(result).toMatchObject({ asked: 8, status: 503, code: 'busy', retryAfterMs: 50 });
  });

  it('retries a repeatable request once, and answers 502 if the retry is lost too', async () => {
    expect(await dispatch([lost, answer(200)])).toMatchObject({ asked: 2, status: 200 });
    expect(await dispatch([lost, lost, answer(200)])).toMatchObject({ asked: 2, status: 502 });
  });

  it('does not retry a request that may have run and is not repeatable', async () => {
    const result = await dispatch([lost, answer(200)], { repeatable: false });
    expect(result).toMatchObject({ asked: 1, status: 502 });
  });

  it('counts a rejection by a back end as an attempt, and answers 503 as it has not run', async () => {
    const result = await dispatch([rejected, rejected, answer(200)], { repeatable: false });
    expect(result).toMatchObject({ asked: 2, status: 503 });
  });

  it('does not retry if the retry budget is spent', async () => {
    const result = await dispatch([lost, answer(200)], { slack: 0 });
    expect(result).toMatchObject({ asked: 1, status: 502 });
  });

  it.each([true, false])(
    'passes a failure status of the back end on without a retry (repeatable: %s)',
    async (repeatable) => {
      const result = await dispatch([answer(500), answer(200)], { repeatable });
      expect(result).toMatchObject({ asked: 1, status: 500 });
    },
  );

  describe('if the owners of its own zone are busy', () => {
    const busy = createRejection('busy', 50);
    const zones = ['near', 'far'];

    it('offers a small request to another zone', async () => {
      expect(await dispatch([busy, answer(200)], { zones })).toMatchObject({ status: 200 });
    });

    it('refuses a large request with a time to retry, as traffic between zones is costly', async () => {
      const result = await dispatch([busy, answer(200)], { zones, bodyBytes: LARGE_BODY_BYTES });
      expect(result).toEqual({
        asked: 1,
        mayWait: [true],
        status: 503,
        code: 'busy',
        retryAfterMs: 50,
      });
    });
  });

  it('waits in its own zone, and in another one only if its own has no owner', async () => {
    const zones = ['near', 'far'];
    const busy = await dispatch([createRejection('busy', 50), answer(200)], { zones });
    expect(busy.mayWait).toEqual([true, false]);
    const alone = await dispatch([createRejection('draining'), answer(200)], { zones });
    expect(alone.mayWait).toEqual([true, true]);
  });

  it('prefers other zones once two owners of its own zone were busy', async () => {
    const busy = createRejection('busy', 50);
    const zones = ['near', 'near', 'near', 'near', 'far', 'far'];
    const result = await dispatch([busy, busy, answer(200), busy, busy, busy], { zones });
    expect(result.asked).toBe(3);
    expect(result.mayWait).toEqual([true, true, false]);
  });

  it('offers a large request to another zone if its own has no owner', async () => {
    const result = await dispatch([createRejection('draining'), answer(200)], {
      zones: ['near', 'far'],
      bodyBytes: LARGE_BODY_BYTES,
    });
    expect(result).toMatchObject({ asked: 2, status: 200 });
  });
});

/** Dispatches a task to owners whose outcomes the test settles one by one. */
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
  const context = dispatchContext(directory, 0, options.slack);
  const result = new Dispatch(context, task, options.maxAttempts ?? 2, 0).run();
  return {
    offered,
    task,
    directory,
    status: result.then((ended) => ended.result.status),
    offers: result.then((ended) => ended.offers),
  };
}

describe('an owner that has received the request and falls silent', () => {
  it('may still give the answer while a second owner has the request', async () => {
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

  it('has one offer record, whether it answers later or not', async () => {
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

  it('is cancelled if the second owner answers', async () => {
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
  ])('is waited for if there is %s', async (_reason, options) => {
    const { offered, status } = heldDispatch(options);
    offered[0]?.task.onProgress('silent');
    await new Promise((resolve) => setTimeout(resolve, 10));
    expect(offered).toHaveLength(1);
    offered[0]?.settle(answer(200));
    expect(await status).toBe(200);
  });

  it('does not cause an offer to a third owner while the second has the request', async () => {
    const { offered, status } = heldDispatch({ owners: 3, maxAttempts: 3 });
    offered[0]?.task.onProgress('silent');
    await vi.waitFor(() => expect(offered).toHaveLength(2));
    offered[0]?.settle(lost);
    await new Promise((resolve) => setTimeout(resolve, 10));
    expect(offered).toHaveLength(2);
    offered[1]?.settle(answer(200));
    expect(await status).toBe(200);
  });

  it('leads to 504 at the deadline, as it may have run the request', async () => {
    const { offered, status, task } = heldDispatch({ owners: 1 });
    offered[0]?.task.onProgress('silent');
    await new Promise((resolve) => setTimeout(resolve, 10));
    task.cancellation.cancel();
    expect(await status).toBe(504);
  });
});
