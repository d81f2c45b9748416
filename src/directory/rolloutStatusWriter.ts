/**
 * Writes the status of orders, on condition of the revision at which the order was last read. The
 * store rejects the write of a leader that was suspended, cut off or replaced in the meantime; it
 * reads the order again before its next write.
 */
import type { Clock } from '../model/clock.js';
import { type RolloutOrder, RolloutState, type RolloutStatus } from '../rollout/rolloutOrder.js';
import type { ObjectStore, StoredObject, StoreFailure } from '../source/object-store.js';

/** A deployment's representation of orders and their status in the store. */
export interface RolloutCodec {
  readonly kind: string;
  /** Returns undefined if the object is not an order. */
  readonly decode: (object: StoredObject<unknown>) => RolloutOrder | undefined;
  readonly encode: (
    order: Pick<RolloutOrder, 'service' | 'targetVersion' | 'durationMs'>,
  ) => unknown;
  readonly encodeStatus: (status: RolloutStatus) => unknown;
}

/** Dependencies on the rest of the node. */
export interface RolloutStatusWriterContext {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly codec: RolloutCodec;
  /** The newest revision of an order's object that this node has read. */
  readonly lastRead: (service: string) => StoredObject<unknown> | undefined;
  /** Receives the current object, or undefined if the store holds none. */
  readonly onRead: (service: string, object: StoredObject<unknown> | undefined) => void;
  /** Called after each write; `tookMs` is the duration of the call to the store. */
  readonly onWritten: (
    order: RolloutOrder,
    state: RolloutState,
    result: 'ok' | StoreFailure,
    tookMs: number,
  ) => void;
}

export interface RolloutStatusWriter {
  /** Writes in the background; does nothing while a write for the same service is in progress. */
  write(order: RolloutOrder, state: RolloutState): void;
  /** The state that is being written for a service's order, if any. */
  pending(service: string): RolloutState | undefined;
}

export function createRolloutStatusWriter(
  context: RolloutStatusWriterContext,
): RolloutStatusWriter {
  const { clock, store, codec, lastRead, onRead, onWritten } = context;
  const pendingStates = new Map<string, RolloutState>();

  const refresh = async (service: string): Promise<void> => {
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
    const current = object && codec.decode(object);
    if (!object || current?.id !== order.id || !mayFollow(current.state, state)) {
      return;
    }
    const status = codec.encodeStatus({ targetVersion, state });
    const startedAt = clock.now();
    const result = await store.replaceStatus<unknown>(codec.kind, object, status);
    const tookMs = clock.now() - startedAt;
    if (result.ok) {
      onRead(service, result.value);
    } else if (result.failure !== 'throttled' && result.failure !== 'unavailable') {
      // Another node has written, or it is unknown whether this write was executed.
      await refresh(service);
    }
    onWritten(order, state, result.ok ? 'ok' : result.failure, tookMs);
  };

  return {
    write: (order, state) => {
      if (pendingStates.has(order.service)) {
        return;
      }
      pendingStates.set(order.service, state);
      void writeOnce(order, state).finally(() => pendingStates.delete(order.service));
    },
    pending: (service) => pendingStates.get(service),
  };
}

/** An order's status starts as running and ends once; the final state never changes. */
function mayFollow(before: RolloutState | undefined, next: RolloutState): boolean {
  return before === undefined || (before === RolloutState.Running && next !== before);
}
