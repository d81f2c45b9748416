/**
 * A watch for which no reader of the own zone speaks: at the store itself while that answers, at the
 * reader of another zone while it does not.
 */
import type { StoreChanges, StoreError, StoreResult } from '../source/object-store.js';
import type { StoreReachability } from './storeReachability.js';

/** Asks for the changes of a kind after a revision; `None` is what may come in place of a result. */
export type WatchChanges<None> = <Spec>(
  kind: string,
  revision: number,
  waitMs: number,
) => Promise<None | StoreResult<StoreChanges<Spec>>>;

/** What is needed of the node. */
export interface FallbackWatchContext {
  readonly reach: StoreReachability;
  /** Milliseconds for which another zone's reader is asked to wait. */
  readonly longPollMs: number;
  /** Undefined when the watch was released: the caller asks anew, of a reader. */
  readonly watchStore: WatchChanges<undefined>;
  /** Undefined when no other zone can speak for the store. */
  readonly watchOtherZone: WatchChanges<undefined>;
  /** The store itself has answered a watch. */
  readonly onStoreAnswered: () => void;
}

export interface FallbackWatch {
  /** True while such a watch is under way, whether or not the store answers. */
  readonly isActive: boolean;
  readonly watch: WatchChanges<never>;
}

const OUT_OF_REACH: StoreError = { ok: false, failure: 'unavailable', detail: 'out of reach' };

export function createFallbackWatch(context: FallbackWatchContext): FallbackWatch {
  const { reach, longPollMs, watchStore, watchOtherZone, onStoreAnswered } = context;
  let waiting = 0;

  const watchOwn: WatchChanges<never> = async <Spec>(
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
   * A watch that is sent to a silent store may never be answered, also when the store is back: it is
   * sent once a proof has been answered.
   */
  const watchInDoubt: WatchChanges<never> = async <Spec>(
    kind: string,
    revision: number,
    waitMs: number,
  ) => {
    const answer = await watchOtherZone<Spec>(kind, revision, Math.min(waitMs, longPollMs));
    if (answer) {
      return answer;
    }
    await reach.untilReachable(longPollMs);
    return reach.isSuspected ? OUT_OF_REACH : watchOwn<Spec>(kind, revision, waitMs);
  };

  return {
    get isActive() {
      return waiting > 0;
    },
    watch: async <Spec>(kind: string, revision: number, waitMs: number) => {
      waiting += 1;
      try {
        const watch = reach.isSuspected ? watchInDoubt : watchOwn;
        return await watch<Spec>(kind, revision, waitMs);
      } finally {
        waiting -= 1;
      }
    },
  };
}
