/** What one node knows of the roll-outs that stand: their orders, their phases, and how old that is. */
import type { Clock } from '../model/clock.js';
import { isLeased, type RolloutOrder, RolloutPhase, RolloutState } from './rolloutOrder.js';
import type { RolloutPlan } from './rolloutPlan.js';
import type { RolloutView } from './versionRules.js';

/** A phase in which the version gets more ends by itself unless it is told again within this time, in milliseconds. */
export const PHASE_LEASE_MS = 1_600;

/** A plan of the watch holds for so long, in milliseconds: it is told more than twice in that time. */
const PLAN_LIFETIME_MS = 5_000;

/**
 * So long after its completion, in milliseconds, an order says no more of the service: the others are
 * gone, and a version that appears later is a plain release.
 */
const SETTLED_MS = 30_000;

/** What is needed of the node. */
export interface RolloutTrackerContext {
  readonly clock: Clock;
  /** Milliseconds without a word from store and decider after which the version gets nothing. */
  readonly staleMs: () => number;
}

/** How far an order is, as a decider tells it. */
export interface PhaseUpdate {
  readonly service: string;
  readonly orderId: string;
  readonly phase: RolloutPhase;
  /** Milliseconds since the order, as far as the teller knows. */
  readonly ageMs: number;
  readonly plan?: RolloutPlan;
}

/** An order that has not ended. */
export interface RunningRollout {
  readonly order: RolloutOrder;
  /** Counts the orders that this node has learnt of: the same order made again has another. */
  readonly generation: number;
  readonly phase: RolloutPhase;
  readonly phaseAgeMs: number;
  readonly ageMs: number;
}

/** One per node. */
export interface RolloutTracker {
  /** True once the store has told which orders stand. */
  isSynced: boolean;
  /** The store's word, newer than all before; false if it was known. */
  applyOrder(order: RolloutOrder): boolean;
  /**
   * The store's word after it came back from a copy, of an order that was known before: as {@link applyOrder}, but
   * that the same order goes on, under whatever id, and what was known of its end holds.
   */
  applyRestoredOrder(order: RolloutOrder): boolean;
  /** The order of a service stands no longer. */
  remove(service: string): void;
  /** A decider's word, this node's own included; true if it changed the phase. */
  applyPhase(word: PhaseUpdate): boolean;
  /** Another node knows that the order is so old. */
  noteAge(service: string, orderId: string, ageMs: number): void;
  /** What is known of the orders is all that the store holds now. */
  markSynced(): void;
  running(service: string): RunningRollout | undefined;
  /** How the order of a service has ended, by a status that the store held. */
  endStateOf(service: string): RolloutState | undefined;
  readonly runningServices: readonly string[];
  readonly services: readonly string[];
  view(service: string): RolloutView | undefined;
  /** Versions whose orders were taken back before they ended: nothing is known in their favour. */
  withdrawn(service: string): ReadonlySet<string>;
}

interface Known {
  order: RolloutOrder;
  readonly generation: number;
  learntAt: number;
  phase: RolloutPhase;
  phaseSince: number;
  /** Of the phase; undefined while no decider has told one, or not lately. */
  plan: RolloutPlan | undefined;
  toldAt: number;
  endedAt: number | undefined;
}

const NOTHING: ReadonlySet<string> = new Set();

export function createRolloutTracker({ clock, staleMs }: RolloutTrackerContext): RolloutTracker {
  const orders = new Map<string, Known>();
  const withdrawn = new Map<string, Set<string>>();
  let currentAt = clock.now();
  let generation = 0;

  const withdraw = (service: string, { order }: Known): void => {
    if (order.state !== RolloutState.Completed) {
      const versions = withdrawn.get(service) ?? new Set<string>();
      withdrawn.set(service, versions.add(order.targetVersion));
    }
  };

  const begin = (order: RolloutOrder): void => {
    const earlier = orders.get(order.service);
    if (earlier) {
      withdraw(order.service, earlier);
    }
    withdrawn.get(order.service)?.delete(order.targetVersion);
    const now = clock.now();
    const isEnded = hasEnded(order);
    generation += 1;
    orders.set(order.service, {
      order,
      generation,
      learntAt: now,
      phase: RolloutPhase.Watch,
      phaseSince: now,
      plan: undefined,
      toldAt: now,
      endedAt: isEnded ? now : undefined,
    });
  };

  /** A phase that is leased and not told again is over. */
  const phaseOf = (known: Known): RolloutPhase => {
    if (isLeased(known.phase) && clock.now() - known.toldAt > PHASE_LEASE_MS) {
      known.phase = RolloutPhase.Watch;
      known.phaseSince = clock.now();
      known.plan = undefined;
    }
    return known.phase;
  };

  const planOf = (known: Known): RolloutPlan | undefined => {
    if (clock.now() - known.toldAt > PLAN_LIFETIME_MS) {
      known.plan = undefined;
    }
    return known.plan;
  };

  const runningOf = (service: string): Known | undefined => {
    const known = orders.get(service);
    return known && !hasEnded(known.order) && known.phase !== RolloutPhase.Done ? known : undefined;
  };

  const noteState = (known: Known, order: RolloutOrder): void => {
    known.order = order;
    if (hasEnded(order)) {
      // The store may tell it first. Owners that are to get nothing new until the end would refuse
      // requests for up to a lease more: 0.6 s of them, where the version was rolled back.
      known.phase = endPhaseOf(order);
      known.endedAt = clock.now();
    }
  };

  const applyOrder = (order: RolloutOrder): boolean => {
    const known = orders.get(order.service);
    // A status ends once: one that hasn't ended is that of the same order, made again after another.
    const isMadeAgain = known && hasEnded(known.order) && !hasEnded(order);
    if (known?.order.id !== order.id || isMadeAgain) {
      begin(order);
      return true;
    }
    if (hasEnded(known.order) || known.order.state === order.state) {
      return false;
    }
    noteState(known, order);
    return true;
  };

  return {
    isSynced: false,
    applyOrder,
    applyRestoredOrder: (order) => {
      const known = orders.get(order.service);
      if (!known || !isSameOrder(known.order, order)) {
        return applyOrder(order);
      }
      const isChanged = known.order.id !== order.id;
      if (hasEnded(known.order)) {
        known.order = { ...order, state: known.order.state };
        return isChanged;
      }
      const hasNewState = known.order.state !== order.state;
      noteState(known, order);
      return isChanged || hasNewState;
    },
    endStateOf: (service) => {
      const known = orders.get(service);
      return known && hasEnded(known.order) ? known.order.state : undefined;
    },
    remove: (service) => {
      const known = orders.get(service);
      orders.delete(service);
      if (known) {
        withdraw(service, known);
      }
    },
    applyPhase: ({ service, orderId, phase, ageMs, plan }) => {
      const known = runningOf(service);
      if (known?.order.id !== orderId) {
        return false;
      }
      const now = clock.now();
      known.learntAt = Math.min(known.learntAt, now - ageMs);
      const before = phaseOf(known);
      known.toldAt = now;
      known.plan = plan;
      // A version that is bad stays so.
      if (before === phase || before === RolloutPhase.Halt) {
        return false;
      }
      known.phase = phase;
      known.phaseSince = now;
      known.endedAt = phase === RolloutPhase.Done ? now : undefined;
      return true;
    },
    noteAge: (service, orderId, ageMs) => {
      const known = runningOf(service);
      if (known?.order.id === orderId) {
        known.learntAt = Math.min(known.learntAt, clock.now() - ageMs);
      }
    },
    markSynced: () => {
      currentAt = clock.now();
    },
    running: (service) => {
      const known = runningOf(service);
      if (!known) {
        return undefined;
      }
      const phase = phaseOf(known);
      const now = clock.now();
      return {
        order: known.order,
        generation: known.generation,
        phase,
        phaseAgeMs: now - known.phaseSince,
        ageMs: now - known.learntAt,
      };
    },
    get runningServices() {
      return [...orders.keys()].filter((service) => runningOf(service));
    },
    get services() {
      return [...orders.keys()];
    },
    view: (service) => {
      const known = orders.get(service);
      if (!known) {
        return undefined;
      }
      const { order, endedAt, toldAt } = known;
      const now = clock.now();
      const isCompleted =
        order.state === RolloutState.Completed || known.phase === RolloutPhase.Done;
      if (isCompleted && now - (endedAt ?? now) > SETTLED_MS) {
        return undefined;
      }
      const isStale = !hasEnded(order) && now - Math.max(currentAt, toldAt) > staleMs();
      const phase = phaseOf(known);
      const { generation, learntAt } = known;
      return { order, generation, phase, ageMs: now - learntAt, plan: planOf(known), isStale };
    },
    withdrawn: (service) => withdrawn.get(service) ?? NOTHING,
  };
}

/** True for orders that ask for the same: an operator who writes one again gets another id for it. */
function isSameOrder(left: RolloutOrder, right: RolloutOrder): boolean {
  return left.targetVersion === right.targetVersion && left.durationMs === right.durationMs;
}

/** The phase that an ended order is in. */
function endPhaseOf({ state }: RolloutOrder): RolloutPhase {
  return state === RolloutState.RolledBack ? RolloutPhase.Halt : RolloutPhase.Done;
}

/** True for an order whose status says how it ended. */
export function hasEnded({ state }: RolloutOrder): boolean {
  return state === RolloutState.Completed || state === RolloutState.RolledBack;
}
