import { describe, expect, it } from 'vitest';
import { createReadBarrier } from './readBarrier.js';

/** A barrier whose polls a test plays. */
function createPolledBarrier() {
  const scheduled: (() => void)[] = [];
  const barrier = createReadBarrier((callback) => scheduled.push(callback));
  const poll = async () => {
    for (const callback of scheduled.splice(0)) {
      callback();
    }
    await Promise.resolve();
  };
  return { ...barrier, poll, scheduled };
}

describe('a read barrier', () => {
  it('waits for two polls until all that had arrived has been read', async () => {
    const { afterPendingReads, poll } = createPolledBarrier();
    let isOver = false;
    void afterPendingReads().then(() => {
      isOver = true;
    });
    await poll();
    expect(isOver).toBe(false);
    await poll();
    expect(isOver).toBe(true);
  });

  it('waits for one poll until what was readable has been read once', async () => {
    const { afterPoll, poll } = createPolledBarrier();
    let isOver = false;
    void afterPoll().then(() => {
      isOver = true;
    });
    await poll();
    expect(isOver).toBe(true);
  });

  it('shares its polls between callers and stops when nobody waits', async () => {
    const { afterPendingReads, afterPoll, poll, scheduled } = createPolledBarrier();
    const order: string[] = [];
    void afterPendingReads().then(() => order.push('first'));
    void afterPoll().then(() => order.push('short'));
    expect(scheduled.length).toBe(1);
    await poll();
    void afterPendingReads().then(() => order.push('second'));
    expect(scheduled.length).toBe(1);
    await poll();
    await poll();
    expect(order).toEqual(['short', 'first', 'second']);
    expect(scheduled.length).toBe(0);
  });
});
