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
  const tracker = createRolloutTracker({ clock: { now: () => now }, staleMs: () => 3_000 });
  tracker.applyOrder(ORDER);
  const announce = (phase: RolloutPhase, ageMs = 0, orderId = '1') =>
    tracker.applyPhase({ service: 'desk', orderId, phase, ageMs });
  const pass = (ms: number) => {
    now += ms;
  };
  return { tracker, announce, pass };
}

const phaseIn = ({ tracker }: ReturnType<typeof setUp>) => tracker.running('desk')?.phase;

describe('RolloutTracker', () => {
  it('returns to the watch when a phase with a larger share is not announced again', () => {
    const setup = setUp();
    setup.announce(RolloutPhase.Shift);
    setup.pass(PHASE_LEASE_MS);
    expect(phaseIn(setup)).toBe(RolloutPhase.Shift);
    setup.pass(1);
    expect(phaseIn(setup)).toBe(RolloutPhase.Watch);
  });

  it('keeps a version halted when a second leader announces another phase', () => {
    const setup = setUp();
    setup.announce(RolloutPhase.Halt);
    setup.announce(RolloutPhase.Shift);
    setup.pass(60_000);
    expect(phaseIn(setup)).toBe(RolloutPhase.Halt);
  });

  it.each([
    [RolloutState.RolledBack, RolloutPhase.Halt],
    [RolloutState.Completed, RolloutPhase.Done],
  ])(
    'ends the roll-out at once when the store reports %s before the leader does',
    (state, phase) => {
      const setup = setUp();
      setup.announce(RolloutPhase.Shift);
      setup.tracker.applyOrder({ ...ORDER, state });
      expect(setup.tracker.view('desk')?.phase).toBe(phase);
    },
  );

  it('ignores a phase of another order', () => {
    const setup = setUp();
    expect(setup.announce(RolloutPhase.Halt, 0, '2')).toBe(false);
    expect(phaseIn(setup)).toBe(RolloutPhase.Watch);
  });

  it('uses the greatest age of the order that any node reports', () => {
    const setup = setUp();
    setup.announce(RolloutPhase.Watch, 7_000);
    setup.pass(1_000);
    setup.tracker.noteAge('desk', '1', 3_000);
    expect(setup.tracker.running('desk')?.ageMs).toBe(8_000);
  });

  it('keeps the first final state of an order when another one arrives', () => {
    const { tracker } = setUp();
    expect(tracker.applyOrder({ ...ORDER, state: RolloutState.Completed })).toBe(true);
    expect(tracker.applyOrder({ ...ORDER, state: RolloutState.RolledBack })).toBe(false);
    expect(tracker.view('desk')?.order.state).toBe(RolloutState.Completed);
  });

  it.each([undefined, RolloutState.Running])(
    'starts over when an ended order was replaced unseen and made again with status %s',
    (state) => {
      const { tracker, announce, pass } = setUp();
      const first = tracker.running('desk')?.generation;
      announce(RolloutPhase.Halt);
      tracker.applyOrder({ ...ORDER, state: RolloutState.RolledBack });
      pass(20_000);
      expect(tracker.applyOrder({ ...ORDER, state })).toBe(true);
      const running = tracker.running('desk');
      expect(running).toMatchObject({ phase: RolloutPhase.Watch, ageMs: 0 });
      expect(running?.generation).not.toBe(first);
    },
  );

  it('has no view of a service from 30 s after its completion', () => {
    const setup = setUp();
    setup.tracker.applyOrder({ ...ORDER, state: RolloutState.Completed });
    setup.pass(30_001);
    expect(setup.tracker.view('desk')).toBeUndefined();
  });

  it('is stale when nothing arrives from either the store or a leader', () => {
    const setup = setUp();
    setup.pass(3_001);
    expect(setup.tracker.view('desk')?.isStale).toBe(true);
    setup.announce(RolloutPhase.Watch);
    expect(setup.tracker.view('desk')?.isStale).toBe(false);
    setup.pass(3_001);
    setup.tracker.markSynced();
    expect(setup.tracker.view('desk')?.isStale).toBe(false);
  });

  it('keeps a version withdrawn after its order is removed or replaced until ordered again', () => {
    const { tracker } = setUp();
    tracker.applyOrder({ ...ORDER, id: '2', targetVersion: 'v3' });
    expect([...tracker.withdrawn('desk')]).toEqual(['v2']);
    tracker.remove('desk');
    expect([...tracker.withdrawn('desk')]).toEqual(['v2', 'v3']);
    tracker.applyOrder({ ...ORDER, id: '3' });
    expect([...tracker.withdrawn('desk')]).toEqual(['v3']);
  });

  it('starts over when an identical order is made again after the first was removed', () => {
    const { tracker } = setUp();
    tracker.applyOrder({ ...ORDER, state: RolloutState.RolledBack });
    tracker.remove('desk');
    tracker.applyOrder({ ...ORDER, id: '2' });
    expect(tracker.running('desk')?.phase).toBe(RolloutPhase.Watch);
    expect(tracker.withdrawn('desk').size).toBe(0);
  });
});
