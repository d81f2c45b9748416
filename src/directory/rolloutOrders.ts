/**
 * The orders of roll-outs in the store. If an order or its status is missing because the store was
 * restored from a copy, that is not a removal by the operator. Such an order stays in force for
 * some time, since the operator writes it again; a lost status is written again by the nodes.
 */
import type { Clock } from '../model/clock.js';
import { createRecentNames } from '../model/recentNames.js';
import type { RolloutOrder, RolloutState } from '../rollout/rolloutOrder.js';
import type { RolloutTracker } from '../rollout/rolloutTracker.js';
import type { StoredObject } from '../source/object-store.js';
import { mayBeLost } from '../source/storeRevision.js';
import type { StaggeredRepairs } from './staggeredRepairs.js';

/**
 * A lost order stays in force for this time, in milliseconds: operators write lost objects again as
 * soon as they notice. After that the order counts as removed.
 */
const LOST_ORDER_MS = 10_000;

/** Number of replaced orders whose ids are kept. */
const MAX_REPLACED = 100;

/** Dependencies on the rest of the node. */
export interface RolloutOrdersContext {
  readonly clock: Clock;
  readonly rollouts: RolloutTracker;
  readonly repairs: StaggeredRepairs;
  readonly decode: (object: StoredObject<unknown>) => RolloutOrder | undefined;
  readonly write: (order: RolloutOrder, state: RolloutState) => void;
  /** Called when the tracker has applied an order or a new state of one. */
  readonly onApplied: (order: RolloutOrder, revision: number) => void;
  readonly onLost: (service: string) => void;
  /** Called when an order is no longer in force; `running` is undefined unless it was running. */
  readonly onRemoved: (service: string, running: RolloutOrder | undefined) => void;
}

export interface RolloutOrders {
  /** The order's object as this node last read it; undefined if there is none or it is lost. */
  lastRead(service: string): StoredObject<unknown> | undefined;
  apply(object: StoredObject<unknown>): void;
  /** Called for an object that the store held at `seenRevision` and does not at `revision`. */
  noteAbsent(service: string, seenRevision: number, revision: number): void;
  /** Applies the complete list of the store's objects at a revision. */
  applyList(objects: readonly StoredObject<unknown>[], revision: number): void;
  /** Schedules writes of lost statuses; removes lost orders that were not written again in time. */
  repairLost(): void;
}

interface Lost {
  readonly since: number;
  /** Revision of the lost object. */
  readonly revision: number;
  /** An earlier order that has reappeared in its place. */
  readonly restored?: StoredObject<unknown>;
}

export function createRolloutOrders(context: RolloutOrdersContext): RolloutOrders {
  const { clock, rollouts, repairs, decode, write, onApplied, onLost, onRemoved } = context;
  const lastObjects = new Map<string, StoredObject<unknown>>();
  const lost = new Map<string, Lost>();
  /** Ids of orders that were replaced by another one. */
  const replacedIds = createRecentNames(MAX_REPLACED);
  /** Services whose lost status is scheduled to be written by this node. */
  const scheduledWrites = new Set<string>();

  const markLost = (service: string, revision: number, restored?: StoredObject<unknown>): void => {
    lastObjects.delete(service);
    lost.set(service, { since: clock.now(), revision, ...(restored ? { restored } : {}) });
    onLost(service);
  };

  const remove = (service: string): void => {
    lastObjects.delete(service);
    lost.delete(service);
    const running = rollouts.running(service)?.order;
    rollouts.remove(service);
    onRemoved(service, running);
  };

  const apply = (object: StoredObject<unknown>): void => {
    const { name: service, revision } = object;
    const order = decode(object);
    const seenRevision = lastObjects.get(service)?.revision ?? lost.get(service)?.revision;
    if (!order || (seenRevision !== undefined && seenRevision >= revision)) {
      return;
    }
    const isRestored = seenRevision !== undefined && mayBeLost(seenRevision, revision);
    if (isRestored && replacedIds.has(order.id)) {
      markLost(service, seenRevision, object);
      return;
    }
    const earlier = lastObjects.get(service);
    const earlierId = earlier && decode(earlier)?.id;
    if (earlierId !== undefined && earlierId !== order.id) {
      replacedIds.add(earlierId);
    }
    lost.delete(service);
    lastObjects.set(service, object);
    if (isRestored ? rollouts.applyRestoredOrder(order) : rollouts.applyOrder(order)) {
      onApplied(order, revision);
    }
  };

  const noteAbsent = (service: string, seenRevision: number, revision: number): void => {
    const object = lastObjects.get(service);
    if (object && mayBeLost(seenRevision, revision)) {
      markLost(service, object.revision);
    } else if (object) {
      remove(service);
    }
  };

  const abandon = (service: string, { restored }: Lost): void => {
    remove(service);
    if (restored) {
      apply(restored);
    }
  };

  /** Schedules a write of the order's final state if the store does not hold it. */
  const repairStatus = (service: string): void => {
    const object = lastObjects.get(service);
    const order = object && decode(object);
    const endState = rollouts.endStateOf(service);
    if (!order || !endState || order.state === endState) {
      repairs.cancel(service);
      scheduledWrites.delete(service);
      return;
    }
    if (!scheduledWrites.has(service)) {
      scheduledWrites.add(service);
      repairs.schedule(service, () => {
        scheduledWrites.delete(service);
        write(order, endState);
      });
    }
  };

  return {
    lastRead: (service) => lastObjects.get(service),
    apply,
    noteAbsent,
    applyList: (objects, revision) => {
      const present = new Set(objects.map(({ name }) => name));
      for (const { name, revision: seenRevision } of [...lastObjects.values()]) {
        if (!present.has(name)) {
          noteAbsent(name, seenRevision, revision);
        }
      }
      objects.forEach(apply);
    },
    repairLost: () => {
      rollouts.services.forEach(repairStatus);
      for (const [service, lostOrder] of lost) {
        if (clock.now() - lostOrder.since > LOST_ORDER_MS) {
          abandon(service, lostOrder);
        }
      }
    },
  };
}
