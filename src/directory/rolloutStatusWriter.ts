/**
 * Writes the status of orders, each under the revision at which its order was last read: a decider that
 * was suspended, cut off or replaced meanwhile is refused, and reads anew before it writes again.
 */
import type { Clock } from '../model/clock.js';
import { type RolloutOrder, RolloutState, type RolloutStatus } from '../rollout/rolloutOrder.js';
import type { ObjectStore, StoredObject, StoreFailure } from '../source/object-store.js';

/** How a deployment spells orders and their status. */
export interface RolloutCodec {
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
export interface RolloutStatusWriterContext {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly codec: RolloutCodec;
  /** The newest version of an order's object that this node has read. */
  readonly lastRead: (service: string) => StoredObject<unknown> | undefined;
  /** The object as it is now, or that there is none. */
  readonly onRead: (service: string, object: StoredObject<unknown> | undefined) => void;
  /** The call to the store took so many milliseconds. */
  readonly onWritten: (
    order: RolloutOrder,
    state: RolloutState,
    result: 'ok' | StoreFailure,
    tookMs: number,
  ) => void;
}

export interface RolloutStatusWriter {
  /** Writes in the background; nothing while an earlier write of the same order is under way. */
  write(order: RolloutOrder, state: RolloutState): void;
  /** What is being written of a service's order. */
  pending(service: string): RolloutState | undefined;
}

export function createRolloutStatusWriter(
  context: RolloutStatusWriterContext,
): RolloutStatusWriter {
  const { clock, store, codec, lastRead, onRead, onWritten } = context;
  const writing = new Map<string, RolloutState>();

  const readAnew = async (service: string): Promise<void> => {
    const result = await store.get<unknown>(codec.kind, service);
    if (result.ok) {
      onRead(service, result.value);
    } else if (result.failure === 'not-found') {
      onRead(service, undefined);
    }
  };

  const writeOnce = async (order: RolloutOrder, state: RolloutState): Promise<void> => {
    const { service, targetVersion } = order;
    const object = lastRead(service);
    const known = object && codec.decode(object);
    if (!object || known?.id !== order.id || !mayFollow(known.state, state)) {
      return;
    }
    const status = codec.encodeStatus({ targetVersion, state });
    const startedAt = clock.now();
    const result = await store.replaceStatus<unknown>(codec.kind, object, status);
    const tookMs = clock.now() - startedAt;
    if (result.ok) {
      onRead(service, result.value);
    } else if (result.failure !== 'throttled' && result.failure !== 'unavailable') {
      // Another node wrote, or it isn't known whether this one did.
      await readAnew(service);
    }
    onWritten(order, state, result.ok ? 'ok' : result.failure, tookMs);
  };

  return {
    write: (order, state) => {
      if (writing.has(order.service)) {
        return;
      }
      writing.set(order.service, state);
      void writeOnce(order, state).finally(() => writing.delete(order.service));
    },
    pending: (service) => writing.get(service),
  };
}

/** A status begins as running and ends once. */
function mayFollow(before: RolloutState | undefined, next: RolloutState): boolean {
  return before === undefined || (before === RolloutState.Running && next !== before);
}
