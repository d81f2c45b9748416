/**
 * A watch for which no reader of the own zone speaks: at the store itself while that answers, at the
 * reader of another zone while it does not.
 */
import type { StoreChanges, StoreError, StoreResult } from '../source/object-store.js';
import type { StoreReach } from './storeReach.js';

/** Asks for the changes of a kind after a revision; `None` is what may come in place of a result. */
export type AskChanges<None> = <Spec>(
  kind: string,
  revision: number,
  waitMs: number,
) => Promise<None | StoreResult<StoreChanges<Spec>>>;

/** What is needed of the node. */
export interface AloneWatchContext {
  readonly reach: StoreReach;
  /** Milliseconds for which another zone's reader is asked to wait. */
  readonly paceMs: number;
  /** Undefined when the watch was released: the caller asks anew, of a reader. */
  readonly watchStore: AskChanges<undefined>;
  /** Undefined when no other zone can speak for the store. */
  readonly watchElsewhere: AskChanges<undefined>;
  /** The store itself has answered a watch. */
  readonly onOwn: () => void;
}

export interface AloneWatch {
  /** True while such a watch is under way, whether or not the store answers. */
  readonly isWaiting: boolean;
  readonly watch: AskChanges<never>;
}

const OUT_OF_REACH: StoreError = { ok: false, failure: 'unavailable', detail: 'out of reach' };

export function createAloneWatch(context: AloneWatchContext): AloneWatch {
  const { reach, paceMs, watchStore, watchElsewhere, onOwn } = context;
  let waiting = 0;

  const watchOwn: AskChanges<never> = async <Spec>(
    kind: string,
    revision: number,
    waitMs: number,
  ) => {
    const result = await watchStore<Spec>(kind, revision, waitMs);
    if (!result) {
      return { ok: true, value: { events: [], revision } };
    }
    if (result.ok || result.failure === 'history-gone') {
      onOwn();
      return result;
    }
    return (await watchElsewhere<Spec>(kind, revision, Math.min(waitMs, paceMs))) ?? result;
  };

  /**
   * A watch that is sent to a silent store may never be answered, also when the store is back: it is
   * sent once a proof has been answered.
   */
  const watchInDoubt: AskChanges<never> = async <Spec>(
    kind: string,
    revision: number,
    waitMs: number,
  ) => {
    const answer = await watchElsewhere<Spec>(kind, revision, Math.min(waitMs, paceMs));
    if (answer) {
      return answer;
    }
    await reach.regained(paceMs);
    return reach.isInDoubt ? OUT_OF_REACH : watchOwn<Spec>(kind, revision, waitMs);
  };

  return {
    get isWaiting() {
      return waiting > 0;
    },
    watch: async <Spec>(kind: string, revision: number, waitMs: number) => {
      waiting += 1;
      try {
        const watch = reach.isInDoubt ? watchInDoubt : watchOwn;
        return await watch<Spec>(kind, revision, waitMs);
      } finally {
        waiting -= 1;
      }
    },
  };
}
