/**
 * The orders of roll-outs that the store holds. An order, or its status, that the store has lost as it came
 * back from a copy is no word of the operator: the order goes on, since the operator writes it again, and the
 * status is written again here.
 */
import type { Clock } from '../model/clock.js';
import { createRecentNames } from '../model/recentNames.js';
import type { RolloutOrder, RolloutState } from '../rollout/rolloutOrder.js';
import type { RolloutTracker } from '../rollout/rolloutTracker.js';
import type { StoredObject } from '../source/object-store.js';
import { mayBeLost } from '../source/storeRevision.js';
import type { StaggeredRepairs } from './staggeredRepairs.js';

/**
 * An order that is lost is held for so long, in milliseconds: operators write again what is lost as soon as they
 * see it. After that it counts as taken back.
 */
const LOST_ORDER_MS = 10_000;

/** Orders that others have followed which are remembered. */
const MAX_REPLACED = 100;

/** What is needed of the node. */
export interface RolloutOrdersContext {
  readonly clock: Clock;
  readonly rollouts: RolloutTracker;
  readonly repairs: StaggeredRepairs;
  readonly decode: (object: StoredObject<unknown>) => RolloutOrder | undefined;
  readonly write: (order: RolloutOrder, state: RolloutState) => void;
  /** The book has taken an order, or another state of it. */
  readonly onApplied: (order: RolloutOrder, revision: number) => void;
  readonly onLost: (service: string) => void;
  /** The order stands no longer; undefined unless it was running. */
  readonly onRemoved: (service: string, running: RolloutOrder | undefined) => void;
}

export interface RolloutOrders {
  /** The newest version of an order's object that this node has read. */
  lastRead(service: string): StoredObject<unknown> | undefined;
  apply(object: StoredObject<unknown>): void;
  /** The store has had the object at one revision, and has it no longer at another. */
  noteAbsent(service: string, had: number, revision: number): void;
  /** All that the store holds, at a revision. */
  applyList(objects: readonly StoredObject<unknown>[], revision: number): void;
  /** Has what the store has lost written again, and gives up what is not written again. */
  repairLost(): void;
}

interface Lost {
  readonly since: number;
  /** Revision at which it was last seen. */
  readonly revision: number;
  /** An earlier order that has come back in its place. */
  readonly instead?: StoredObject<unknown>;
}

export function createRolloutOrders(context: RolloutOrdersContext): RolloutOrders {
  const { clock, rollouts, repairs, decode, write, onApplied, onLost, onRemoved } = context;
  const held = new Map<string, StoredObject<unknown>>();
  const lost = new Map<string, Lost>();
  /** Orders that others have followed. */
  const replaced = createRecentNames(MAX_REPLACED);
  /** Services whose status waits for this node's turn to write it. */
  const rewriting = new Set<string>();

  const lose = (service: string, revision: number, instead?: StoredObject<unknown>): void => {
    held.delete(service);
    lost.set(service, { since: clock.now(), revision, ...(instead ? { instead } : {}) });
    onLost(service);
  };

  const remove = (service: string): void => {
    held.delete(service);
    lost.delete(service);
    const running = rollouts.running(service)?.order;
    rollouts.remove(service);
    onRemoved(service, running);
  };

  const apply = (object: StoredObject<unknown>): void => {
    const { name: service, revision } = object;
    const order = decode(object);
    const seen = held.get(service)?.revision ?? lost.get(service)?.revision;
    if (!order || (seen !== undefined && seen >= revision)) {
      return;
    }
    const isRestored = seen !== undefined && mayBeLost(seen, revision);
    if (isRestored && replaced.has(order.id)) {
      lose(service, seen, object);
      return;
    }
    const earlier = held.get(service);
    const earlierId = earlier && decode(earlier)?.id;
    if (earlierId !== undefined && earlierId !== order.id) {
      replaced.add(earlierId);
    }
    lost.delete(service);
    held.set(service, object);
    if (isRestored ? rollouts.applyRestoredOrder(order) : rollouts.applyOrder(order)) {
      onApplied(order, revision);
    }
  };

  const noteAbsent = (service: string, had: number, revision: number): void => {
    const object = held.get(service);
    if (object && mayBeLost(had, revision)) {
      lose(service, object.revision);
    } else if (object) {
      remove(service);
    }
  };

  const giveUp = (service: string, { instead }: Lost): void => {
    remove(service);
    if (instead) {
      apply(instead);
    }
  };

  /** The status that the system wrote last is to stand in the store. */
  const lookAtStatus = (service: string): void => {
    const object = held.get(service);
    const order = object && decode(object);
    const end = rollouts.endStateOf(service);
    if (!order || !end || order.state === end) {
      repairs.cancel(service);
      rewriting.delete(service);
      return;
    }
    if (!rewriting.has(service)) {
      rewriting.add(service);
      repairs.schedule(service, () => {
        rewriting.delete(service);
        write(order, end);
      });
    }
  };

  return {
    lastRead: (service) => held.get(service),
    apply,
    noteAbsent,
    applyList: (objects, revision) => {
      const present = new Set(objects.map(({ name }) => name));
      for (const { name, revision: had } of [...held.values()]) {
        if (!present.has(name)) {
          noteAbsent(name, had, revision);
        }
      }
      objects.forEach(apply);
    },
    repairLost: () => {
      rollouts.services.forEach(lookAtStatus);
      for (const [service, each] of lost) {
        if (clock.now() - each.since > LOST_ORDER_MS) {
          giveUp(service, each);
        }
      }
    },
  };
}
