/** Requests that an owner lets through to its back end under an order, without a network. */
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
  const applyOrder = (state = RolloutState.Running) => {
    rollouts.applyOrder({ ...ORDER, state });
    reporter.reportPhaseChange('desk');
  };
  const sendLimit = (limit: number, overrides: Partial<LimitMessage> = {}) => {
    const message: LimitMessage = {
      kind: RolloutMessageKind.Limit,
      service: 'desk',
      orderId: '1',
      node: 'node-1',
      countId,
      limit,
      isUnlimited: false,
    };
    reporter.applyLimit({ ...message, ...overrides });
  };
  /** Number of requests, out of ten, that are let through. */
  const letThrough = () =>
    Array.from({ length: 10 }, () => reporter.acquirePermit()).filter(Boolean).length;
  return {
    rollouts,
    reporter,
    applyOrder,
    sendLimit,
    letThrough,
    advance: (ms: number) => {
      now += ms;
    },
  };
}

it('lets nothing through to the target version before the first limit, then up to it', () => {
  const { applyOrder, sendLimit, letThrough } = setUp();
  expect(letThrough()).toBe(10);
  applyOrder();
  expect(letThrough()).toBe(0);
  sendLimit(3);
  expect(letThrough()).toBe(3);
  sendLimit(2);
  expect(letThrough()).toBe(0);
  sendLimit(5);
  expect(letThrough()).toBe(2);
  sendLimit(5, { isUnlimited: true });
  expect(letThrough()).toBe(10);
});

it('ignores a limit for another count, order or node', () => {
  const { applyOrder, sendLimit, letThrough } = setUp();
  applyOrder();
  sendLimit(3, { countId: 'another' });
  sendLimit(3, { orderId: '2' });
  sendLimit(3, { node: 'node-2' });
  expect(letThrough()).toBe(0);
});

it('releases the permit of a request that did not reach the back end', () => {
  const { reporter, applyOrder, sendLimit, letThrough } = setUp();
  applyOrder();
  sendLimit(2);
  reporter.acquirePermit()?.finish(false);
  reporter.acquirePermit()?.finish(true);
  expect(letThrough()).toBe(1);
});

// Requests were refused until the first limit when an order named the only version in service.
it('lets everything through before the first limit if no other version is in service', () => {
  const { applyOrder, sendLimit, letThrough } = setUp({ isSoleVersion: true });
  applyOrder();
  expect(letThrough()).toBe(10);
  sendLimit(3);
  expect(letThrough()).toBe(3);
});

it('applies the limit from the completion until the deadline', () => {
  const { applyOrder, sendLimit, letThrough, advance } = setUp();
  applyOrder();
  sendLimit(3);
  applyOrder(RolloutState.Completed);
  expect(letThrough()).toBe(3);
  advance(10_000);
  expect(letThrough()).toBe(10);
});

it('applies no limit if the order is already completed when it is first read', () => {
  const { applyOrder, letThrough } = setUp();
  applyOrder(RolloutState.Completed);
  expect(letThrough()).toBe(10);
});

// Fenced in the Shift phase regardless of the plan, owners of other versions rejected requests that
// no other owner accepted while the target version's limits still applied.
it('lets nothing through to another version in the Shift phase unless the plan is unfenced', () => {
  const { rollouts, applyOrder, letThrough } = setUp({ version: 'v1' });
  applyOrder();
  expect(letThrough()).toBe(10);
  const phase = RolloutPhase.Shift;
  const update = { service: 'desk', orderId: '1', ageMs: 0, phase };
  rollouts.applyPhase(update);
  expect(letThrough()).toBe(0);
  const plan = { shares: new Map(), owners: new Set(['node-2']) };
  rollouts.applyPhase({ ...update, plan: { ...plan, isFenced: false } });
  expect(letThrough()).toBe(10);
  rollouts.applyPhase({ ...update, plan: { ...plan, isFenced: true } });
  expect(letThrough()).toBe(0);
});
