/**
 * A watch that no reader of the node's own zone can answer. It is sent to the store itself while
 * the store answers, and to the reader of another zone while the store is suspected of not
 * answering.
 */
import type { StoreChanges, StoreError, StoreResult } from '../source/object-store.js';
import type { StoreReachability } from './storeReachability.js';

/**
 * Waits for the changes of a kind after a revision. `None` is the type of the value that is
 * returned if there is no result.
 */
export type WatchChanges<None> = <Spec>(
  kind: string,
  revision: number,
  waitMs: number,
) => Promise<None | StoreResult<StoreChanges<Spec>>>;

/** Dependencies of the fallback watch on the rest of the node. */
export interface FallbackWatchContext {
  readonly reach: StoreReachability;
  /** Longest wait of a watch at another zone's reader, in milliseconds. */
  readonly longPollMs: number;
  /** Returns undefined if the watch was released, so that the caller can ask a reader instead. */
  readonly watchStore: WatchChanges<undefined>;
  /** Returns undefined if no reader of another zone can answer for the store. */
  readonly watchOtherZone: WatchChanges<undefined>;
  /** Called when the store itself has answered a watch. */
  readonly onStoreAnswered: () => void;
}

export interface FallbackWatch {
  /** True while a fallback watch is in flight, whether or not the store answers. */
  readonly isActive: boolean;
  readonly watch: WatchChanges<never>;
}

const STORE_SUSPECTED: StoreError = {
  ok: false,
  failure: 'unavailable',
  detail: 'the store does not answer',
};

export function createFallbackWatch(context: FallbackWatchContext): FallbackWatch {
  const { reach, longPollMs, watchStore, watchOtherZone, onStoreAnswered } = context;
  let inFlight = 0;

  const watchStoreFirst: WatchChanges<never> = async <Spec>(
    kind: string,
    revision: number,
    waitMs: number,
  ) => {
    const result = await watchStore<Spec>(kind, revision, waitMs);
    if (!result) {
      return { ok: true, value: { events: [], revision } };
    }
    if (result.ok || result.failure === 'history-gone') {
      onStoreAnswered();
      return result;
    }
    return (await watchOtherZone<Spec>(kind, revision, Math.min(waitMs, longPollMs))) ?? result;
  };

  /**
   * A store that is silent when it receives a watch may never answer the watch, even once the store
   * is back. So while the store is suspected, the watch goes to the store only after a probe has
   * been answered.
   */
  const watchOtherZoneFirst: WatchChanges<never> = async <Spec>(
    kind: string,
    revision: number,
    waitMs: number,
  ) => {
    const answer = await watchOtherZone<Spec>(kind, revision, Math.min(waitMs, longPollMs));
    if (answer) {
      return answer;
    }
    await reach.untilReachable(longPollMs);
    return reach.isSuspected ? STORE_SUSPECTED : watchStoreFirst<Spec>(kind, revision, waitMs);
  };

  return {
    get isActive() {
      return inFlight > 0;
    },
    watch: async <Spec>(kind: string, revision: number, waitMs: number) => {
      inFlight += 1;
      try {
        const watch = reach.isSuspected ? watchOtherZoneFirst : watchStoreFirst;
        return await watch<Spec>(kind, revision, waitMs);
      } finally {
        inFlight -= 1;
      }
    },
  };
}
