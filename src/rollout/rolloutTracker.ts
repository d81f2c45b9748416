/**
 * Tracks the roll-outs on one node: their orders from the store, the phases that the leader
 * announces, and the age of that information.
 */
import type { Clock } from '../model/clock.js';
import { isLeased, type RolloutOrder, RolloutPhase, RolloutState } from './rolloutOrder.js';
import type { RolloutPlan } from './rolloutPlan.js';
import type { RolloutView } from './versionRules.js';

/** Milliseconds until a phase with a larger share ends unless the leader announces it again. */
export const PHASE_LEASE_MS = 1_600;

/**
 * Milliseconds after its announcement for which a plan is valid; the lease of its phase may end
 * sooner. In the watch, a plan is announced more than twice in that time.
 */
const PLAN_LIFETIME_MS = 5_000;

/**
 * Milliseconds after completion when an order no longer applies: the other versions are gone, and a
 * version that appears later is an ordinary release.
 */
const SETTLED_MS = 30_000;

/** Dependencies on the node. */
export interface RolloutTrackerContext {
  readonly clock: Clock;
  /** Milliseconds with data from neither store nor leader until the target gets no requests. */
  readonly staleMs: () => number;
}

/** Phase of an order, as a leader announces it. */
export interface PhaseUpdate {
  readonly service: string;
  readonly orderId: string;
  readonly phase: RolloutPhase;
  /** Milliseconds since the order was made, by the sender's information. */
  readonly ageMs: number;
  readonly plan?: RolloutPlan;
}

/** An order that has not ended. */
export interface RunningRollout {
  readonly order: RolloutOrder;
  /**
   * Number of the order, counted by this node as it learns of them; an identical order that is made
   * again gets a new one.
   */
  readonly generation: number;
  readonly phase: RolloutPhase;
  readonly phaseAgeMs: number;
  readonly ageMs: number;
}

/** One per node. */
export interface RolloutTracker {
  /** True once the orders have been read from the store. */
  isSynced: boolean;
  /** Applies an order from the store, newer than all before; returns false if nothing changed. */
  applyOrder(order: RolloutOrder): boolean;
  /**
   * Applies an order from a restored store, as {@link applyOrder} does, except for an order with
   * the same target and duration as the known one: that order continues even if its id differs, and
   * an end that was already known stays in force.
   */
  applyRestoredOrder(order: RolloutOrder): boolean;
  /** Removes the order of a service. */
  remove(service: string): void;
  /** Applies a phase announced by a leader, this node included; true if the phase changed. */
  applyPhase(update: PhaseUpdate): boolean;
  /** Records the age of an order by another node's information; the greatest age counts. */
  noteAge(service: string, orderId: string, ageMs: number): void;
  /** Records that the orders tracked here are those that the store holds now. */
  markSynced(): void;
  running(service: string): RunningRollout | undefined;
  /** State in which the order of a service ended, from its status in the store. */
  endStateOf(service: string): RolloutState | undefined;
  readonly runningServices: readonly string[];
  readonly services: readonly string[];
  view(service: string): RolloutView | undefined;
  /**
   * Versions whose orders were removed or replaced without being completed: no evidence shows that
   * they are good.
   */
  withdrawn(service: string): ReadonlySet<string>;
}

interface TrackedOrder {
  order: RolloutOrder;
  readonly generation: number;
  learnedAt: number;
  phase: RolloutPhase;
  phaseSince: number;
  /** Plan of the phase; undefined while none has been announced recently. */
  plan: RolloutPlan | undefined;
  announcedAt: number;
  endedAt: number | undefined;
}

const NO_VERSIONS: ReadonlySet<string> = new Set();

export function createRolloutTracker({ clock, staleMs }: RolloutTrackerContext): RolloutTracker {
  const orders = new Map<string, TrackedOrder>();
  const withdrawn = new Map<string, Set<string>>();
  let syncedAt = clock.now();
  let generation = 0;

  const withdraw = (service: string, { order }: TrackedOrder): void => {
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
      learnedAt: now,
      phase: RolloutPhase.Watch,
      phaseSince: now,
      plan: undefined,
      announcedAt: now,
      endedAt: isEnded ? now : undefined,
    });
  };

  /** The present phase; a leased phase that was not announced again in time becomes the watch. */
  const phaseOf = (tracked: TrackedOrder): RolloutPhase => {
    if (isLeased(tracked.phase) && clock.now() - tracked.announcedAt > PHASE_LEASE_MS) {
      tracked.phase = RolloutPhase.Watch;
      tracked.phaseSince = clock.now();
      tracked.plan = undefined;
    }
    return tracked.phase;
  };

  const planOf = (tracked: TrackedOrder): RolloutPlan | undefined => {
    if (clock.now() - tracked.announcedAt > PLAN_LIFETIME_MS) {
      tracked.plan = undefined;
    }
    return tracked.plan;
  };

  const runningOf = (service: string): TrackedOrder | undefined => {
    const tracked = orders.get(service);
    return tracked && !hasEnded(tracked.order) && tracked.phase !== RolloutPhase.Done
      ? tracked
      : undefined;
  };

  const applyState = (tracked: TrackedOrder, order: RolloutOrder): void => {
    tracked.order = order;
    if (hasEnded(order)) {
      // The store may report the end before the leader does. Without this, owners that accept
      // nothing new until the end would reject requests for up to one more lease. Requests were
      // rejected for 0.6 s when a version was rolled back.
      tracked.phase = endPhaseOf(order);
      tracked.endedAt = clock.now();
    }
  };

  const applyOrder = (order: RolloutOrder): boolean => {
    const tracked = orders.get(order.service);
    // An ended order never runs again. If the known order has ended and the store now has the same
    // id without a final state, the order was made again, after another order in between.
    const isMadeAgain = tracked && hasEnded(tracked.order) && !hasEnded(order);
    if (tracked?.order.id !== order.id || isMadeAgain) {
      begin(order);
      return true;
    }
    if (hasEnded(tracked.order) || tracked.order.state === order.state) {
      return false;
    }
    applyState(tracked, order);
    return true;
  };

  return {
    isSynced: false,
    applyOrder,
    applyRestoredOrder: (order) => {
      const tracked = orders.get(order.service);
      if (!tracked || !isSameOrder(tracked.order, order)) {
        return applyOrder(order);
      }
      const isChanged = tracked.order.id !== order.id;
      if (hasEnded(tracked.order)) {
        tracked.order = { ...order, state: tracked.order.state };
        return isChanged;
      }
      const hasNewState = tracked.order.state !== order.state;
      applyState(tracked, order);
      return isChanged || hasNewState;
    },
    endStateOf: (service) => {
      const tracked = orders.get(service);
      return tracked && hasEnded(tracked.order) ? tracked.order.state : undefined;
    },
    remove: (service) => {
      const tracked = orders.get(service);
      orders.delete(service);
      if (tracked) {
        withdraw(service, tracked);
      }
    },
    applyPhase: ({ service, orderId, phase, ageMs, plan }) => {
      const tracked = runningOf(service);
      if (tracked?.order.id !== orderId) {
        return false;
      }
      const now = clock.now();
      tracked.learnedAt = Math.min(tracked.learnedAt, now - ageMs);
      const before = phaseOf(tracked);
      tracked.announcedAt = now;
      tracked.plan = plan;
      // A halted version stays halted.
      if (before === phase || before === RolloutPhase.Halt) {
        return false;
      }
      tracked.phase = phase;
      tracked.phaseSince = now;
      tracked.endedAt = phase === RolloutPhase.Done ? now : undefined;
      return true;
    },
    noteAge: (service, orderId, ageMs) => {
      const tracked = runningOf(service);
      if (tracked?.order.id === orderId) {
        tracked.learnedAt = Math.min(tracked.learnedAt, clock.now() - ageMs);
      }
    },
    markSynced: () => {
      syncedAt = clock.now();
    },
    running: (service) => {
      const tracked = runningOf(service);
      if (!tracked) {
        return undefined;
      }
      const phase = phaseOf(tracked);
      const now = clock.now();
      return {
        order: tracked.order,
        generation: tracked.generation,
        phase,
        phaseAgeMs: now - tracked.phaseSince,
        ageMs: now - tracked.learnedAt,
      };
    },
    get runningServices() {
      return [...orders.keys()].filter((service) => runningOf(service));
    },
    get services() {
      return [...orders.keys()];
    },
    view: (service) => {
      const tracked = orders.get(service);
      if (!tracked) {
        return undefined;
      }
      const { order, endedAt, announcedAt } = tracked;
      const now = clock.now();
      const isCompleted =
        order.state === RolloutState.Completed || tracked.phase === RolloutPhase.Done;
      if (isCompleted && now - (endedAt ?? now) > SETTLED_MS) {
        return undefined;
      }
      const isStale = !hasEnded(order) && now - Math.max(syncedAt, announcedAt) > staleMs();
      const phase = phaseOf(tracked);
      const { generation, learnedAt } = tracked;
      return { order, generation, phase, ageMs: now - learnedAt, plan: planOf(tracked), isStale };
    },
    withdrawn: (service) => withdrawn.get(service) ?? NO_VERSIONS,
  };
}

/**
 * True for orders with the same content: an operator who writes one again gets another id for it.
 */
function isSameOrder(left: RolloutOrder, right: RolloutOrder): boolean {
  return left.targetVersion === right.targetVersion && left.durationMs === right.durationMs;
}

/** The phase of an ended order. */
function endPhaseOf({ state }: RolloutOrder): RolloutPhase {
  return state === RolloutState.RolledBack ? RolloutPhase.Halt : RolloutPhase.Done;
}

/** True for an order whose status has a final state. */
export function hasEnded({ state }: RolloutOrder): boolean {
  return state === RolloutState.Completed || state === RolloutState.RolledBack;
}
