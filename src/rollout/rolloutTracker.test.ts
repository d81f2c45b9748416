import { describe, expect, it } from 'vitest';
import { type RolloutOrder, RolloutPhase, RolloutState } from './rolloutOrder.js';
import { createRolloutTracker, PHASE_LEASE_MS } from './rolloutTracker.js';

const ORDER: RolloutOrder = {
  service: 'desk',
  targetVersion: 'v2',
  durationMs: 12_000,
  id: '1',
  state: undefined,
};

function setUp() {
  let now = 0;
  const book = createRolloutTracker({ clock: { now: () => now }, staleMs: () => 3_000 });
  book.applyOrder(ORDER);
  const tell = (phase: RolloutPhase, ageMs = 0, orderId = '1') =>
    book.applyPhase({ service: 'desk', orderId, phase, ageMs });
  const pass = (ms: number) => {
    now += ms;
  };
  return { book, tell, pass };
}

const phaseIn = ({ book }: ReturnType<typeof setUp>) => book.running('desk')?.phase;

describe('RolloutBook', () => {
  it('goes back to watching when a larger share is not told again', () => {
    const setup = setUp();
    setup.tell(RolloutPhase.Shift);
    setup.pass(PHASE_LEASE_MS);
    expect(phaseIn(setup)).toBe(RolloutPhase.Shift);
    setup.pass(1);
    expect(phaseIn(setup)).toBe(RolloutPhase.Watch);
  });

  it('keeps a version halted whatever a second decider says', () => {
    const setup = setUp();
    setup.tell(RolloutPhase.Halt);
    setup.tell(RolloutPhase.Shift);
    setup.pass(60_000);
    expect(phaseIn(setup)).toBe(RolloutPhase.Halt);
  });

  it.each([
    [RolloutState.RolledBack, RolloutPhase.Halt],
    [RolloutState.Completed, RolloutPhase.Done],
  ])('is over at once when the store tells %s before the decider does', (state, phase) => {
    const setup = setUp();
    setup.tell(RolloutPhase.Shift);
    setup.book.applyOrder({ ...ORDER, state });
    expect(setup.book.view('desk')?.phase).toBe(phase);
  });

  it('takes no word about another order', () => {
    const setup = setUp();
    expect(setup.tell(RolloutPhase.Halt, 0, '2')).toBe(false);
    expect(phaseIn(setup)).toBe(RolloutPhase.Watch);
  });

  it('takes the greatest age that any node knows', () => {
    const setup = setUp();
    setup.tell(RolloutPhase.Watch, 7_000);
    setup.pass(1_000);
    setup.book.noteAge('desk', '1', 3_000);
    expect(setup.book.running('desk')?.ageMs).toBe(8_000);
  });

  it('ends once: a status that says otherwise changes nothing', () => {
    const { book } = setUp();
    expect(book.applyOrder({ ...ORDER, state: RolloutState.Completed })).toBe(true);
    expect(book.applyOrder({ ...ORDER, state: RolloutState.RolledBack })).toBe(false);
    expect(book.view('desk')?.order.state).toBe(RolloutState.Completed);
  });

  it.each([undefined, RolloutState.Running])(
    'begins anew when an order that ended was replaced unseen and put back: its status is %s',
    (state) => {
      const { book, tell, pass } = setUp();
      const first = book.running('desk')?.generation;
      tell(RolloutPhase.Halt);
      book.applyOrder({ ...ORDER, state: RolloutState.RolledBack });
      pass(20_000);
      expect(book.applyOrder({ ...ORDER, state })).toBe(true);
      const running = book.running('desk');
      expect(running).toMatchObject({ phase: RolloutPhase.Watch, ageMs: 0 });
      expect(running?.generation).not.toBe(first);
    },
  );

  it('says no more of a service some time after the completion', () => {
    const setup = setUp();
    setup.book.applyOrder({ ...ORDER, state: RolloutState.Completed });
    setup.pass(30_001);
    expect(setup.book.view('desk')).toBeUndefined();
  });

  it('is stale when neither the store nor a decider is heard of', () => {
    const setup = setUp();
    setup.pass(3_001);
    expect(setup.book.view('desk')?.isStale).toBe(true);
    setup.tell(RolloutPhase.Watch);
    expect(setup.book.view('desk')?.isStale).toBe(false);
    setup.pass(3_001);
    setup.book.markSynced();
    expect(setup.book.view('desk')?.isStale).toBe(false);
  });

  it('remembers a version whose order was removed or replaced, until it is ordered again', () => {
    const { book } = setUp();
    book.applyOrder({ ...ORDER, id: '2', targetVersion: 'v3' });
    expect([...book.withdrawn('desk')]).toEqual(['v2']);
    book.remove('desk');
    expect([...book.withdrawn('desk')]).toEqual(['v2', 'v3']);
    book.applyOrder({ ...ORDER, id: '3' });
    expect([...book.withdrawn('desk')]).toEqual(['v3']);
  });

  it('begins anew when the same order is made again', () => {
    const { book } = setUp();
    book.applyOrder({ ...ORDER, state: RolloutState.RolledBack });
    book.remove('desk');
    book.applyOrder({ ...ORDER, id: '2' });
    expect(book.running('desk')?.phase).toBe(RolloutPhase.Watch);
    expect(book.withdrawn('desk').size).toBe(0);
  });
});
