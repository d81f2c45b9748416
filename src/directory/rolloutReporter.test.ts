/** What an owner lets through to its back end under an order, without a network. */
import { expect, it } from 'vitest';
import { type LimitMessage, RolloutMessageKind } from '../rollout/rolloutMessages.js';
import { type RolloutOrder, RolloutPhase, RolloutState } from '../rollout/rolloutOrder.js';
import { createRolloutTracker } from '../rollout/rolloutTracker.js';
import type { OwnerEntry } from './owner-entry.js';
import { createRolloutReporter } from './rolloutReporter.js';

const ORDER: RolloutOrder = {
  service: 'desk',
  targetVersion: 'v2',
  durationMs: 10_000,
  id: '1',
  state: RolloutState.Running,
};
const NODE = { node: 'node-1', address: 'node-1', zone: 'zone-a' } as OwnerEntry['record'];

interface Setup {
  readonly version?: string;
  readonly isSoleVersion?: boolean;
}

function setUp({ version = 'v2', isSoleVersion = false }: Setup = {}) {
  let now = 0;
  let countId = '';
  const clock = { now: () => now };
  const rollouts = createRolloutTracker({ clock, staleMs: () => 3_000 });
  const reporter = createRolloutReporter({
    clock,
    rollouts,
    election: {
      leaderOf: () => undefined,
      isLeader: () => true,
      noteUnreachable: () => {},
      noteResigned: () => {},
    },
    caller: { sendAnnouncement: () => Promise.resolve(true) },
    own: () => NODE,
    backEnd: () => ({ service: 'desk', version, isReady: true, slots: 8, load: 0 }),
    isSoleVersion: () => isSoleVersion,
    onLocalEvidence: (evidence) => {
      countId = evidence.countId;
    },
  });
  const takeOrder = (state = RolloutState.Running) => {
    rollouts.applyOrder({ ...ORDER, state });
    reporter.reportPhaseChange('desk');
  };
  const allow = (limit: number, more: Partial<LimitMessage> = {}) => {
    const news: LimitMessage = {
      kind: RolloutMessageKind.Limit,
      service: 'desk',
      orderId: '1',
      node: 'node-1',
      countId,
      limit,
      isUnlimited: false,
    };
    reporter.applyLimit({ ...news, ...more });
  };
  /** Requests of ten that are let through. */
  const passed = () =>
    Array.from({ length: 10 }, () => reporter.acquirePermit()).filter(Boolean).length;
  return {
    rollouts,
    reporter,
    takeOrder,
    allow,
    passed,
    pass: (ms: number) => {
      now += ms;
    },
  };
}

it('lets nothing through to the version before a decider has told its limit, then that many', () => {
  const { takeOrder, allow, passed } = setUp();
  expect(passed()).toBe(10);
  takeOrder();
  expect(passed()).toBe(0);
  allow(3);
  expect(passed()).toBe(3);
  allow(2);
  expect(passed()).toBe(0);
  allow(5);
  expect(passed()).toBe(2);
  allow(5, { isUnlimited: true });
  expect(passed()).toBe(10);
});

it('takes no limit of another count, order or node', () => {
  const { takeOrder, allow, passed } = setUp();
  takeOrder();
  allow(3, { countId: 'another' });
  allow(3, { orderId: '2' });
  allow(3, { node: 'node-2' });
  expect(passed()).toBe(0);
});

it('has what did not reach the back end given back', () => {
  const { reporter, takeOrder, allow, passed } = setUp();
  takeOrder();
  allow(2);
  reporter.acquirePermit()?.finish(false);
  reporter.acquirePermit()?.finish(true);
  expect(passed()).toBe(1);
});

// Requests were refused until the first word where an order came for a version that alone served.
it('holds nothing back before the first word where no other version serves', () => {
  const { takeOrder, allow, passed } = setUp({ isSoleVersion: true });
  takeOrder();
  expect(passed()).toBe(10);
  allow(3);
  expect(passed()).toBe(3);
});

it('keeps the limit from the completion to the deadline', () => {
  const { takeOrder, allow, passed, pass } = setUp();
  takeOrder();
  allow(3);
  takeOrder(RolloutState.Completed);
  expect(passed()).toBe(3);
  pass(10_000);
  expect(passed()).toBe(10);
});

it('has no limit where the order is completed when it is learnt of', () => {
  const { takeOrder, passed } = setUp();
  takeOrder(RolloutState.Completed);
  expect(passed()).toBe(10);
});

// They turned requests away that nobody else took while the version's limits still stood.
it('gives another version nothing new in the last step once it is fenced', () => {
  const { rollouts, takeOrder, passed } = setUp({ version: 'v1' });
  takeOrder();
  expect(passed()).toBe(10);
  const phase = RolloutPhase.Shift;
  const word = { service: 'desk', orderId: '1', ageMs: 0, phase };
  rollouts.applyPhase(word);
  expect(passed()).toBe(0);
  const plan = { shares: new Map(), owners: new Set(['node-2']) };
  rollouts.applyPhase({ ...word, plan: { ...plan, isFenced: false } });
  expect(passed()).toBe(10);
  rollouts.applyPhase({ ...word, plan: { ...plan, isFenced: true } });
  expect(passed()).toBe(0);
});
