/**
 * Writes the status of orders, each under the revision at which its order was last read: a decider that
 * was suspended, cut off or replaced meanwhile is refused, and reads anew before it writes again.
 */
import { type RolloutOrder, RolloutState, type RolloutStatus } from '../rollout/rolloutOrder.js';
import type { ObjectStore, StoredObject, StoreFailure } from '../source/object-store.js';

/** How a deployment spells orders and their status. */
export interface RolloutObjects {
  readonly kind: string;
  /** Undefined for an object that is no order. */
  readonly decode: (object: StoredObject<unknown>) => RolloutOrder | undefined;
  /** Renders an order. */
  readonly encode: (
    order: Pick<RolloutOrder, 'service' | 'targetVersion' | 'durationMs'>,
  ) => unknown;
  readonly encodeStatus: (status: RolloutStatus) => unknown;
}

/** What is needed of the node. */
export interface RolloutStatusContext {
  readonly store: ObjectStore;
  readonly objects: RolloutObjects;
  /** The newest version of an order's object that this node has read. */
  readonly held: (service: string) => StoredObject<unknown> | undefined;
  /** The object as it is now, or that there is none. */
  readonly onRead: (service: string, object: StoredObject<unknown> | undefined) => void;
  readonly onWritten: (
    order: RolloutOrder,
    state: RolloutState,
    result: 'ok' | StoreFailure,
  ) => void;
}

export interface RolloutStatusWriter {
  /** Writes in the background; nothing while an earlier write of the same order is under way. */
  write(order: RolloutOrder, state: RolloutState): void;
}

export function createRolloutStatusWriter(context: RolloutStatusContext): RolloutStatusWriter {
  const { store, objects, held, onRead, onWritten } = context;
  const writing = new Set<string>();

  const readAnew = async (service: string): Promise<void> => {
    const result = await store.get<unknown>(objects.kind, service);
    if (result.ok) {
      onRead(service, result.value);
    } else if (result.failure === 'not-found') {
      onRead(service, undefined);
    }
  };

  const writeOnce = async (order: RolloutOrder, state: RolloutState): Promise<void> => {
    const { service, targetVersion } = order;
    const object = held(service);
    const known = object && objects.decode(object);
    if (!object || known?.id !== order.id || !mayFollow(known.state, state)) {
      return;
    }
    const status = objects.encodeStatus({ targetVersion, state });
    const result = await store.replaceStatus<unknown>(objects.kind, object, status);
    if (result.ok) {
      onRead(service, result.value);
    } else if (result.failure !== 'throttled' && result.failure !== 'unavailable') {
      // Another node wrote, or it isn't known whether this one did.
      await readAnew(service);
    }
    onWritten(order, state, result.ok ? 'ok' : result.failure);
  };

  return {
    write: (order, state) => {
      if (writing.has(order.service)) {
        return;
      }
      writing.add(order.service);
      void writeOnce(order, state).finally(() => writing.delete(order.service));
    },
  };
}

/** A status begins as running and ends once. */
function mayFollow(before: RolloutState | undefined, next: RolloutState): boolean {
  return before === undefined || (before === RolloutState.Running && next !== before);
}
