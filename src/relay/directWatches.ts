/**
 * The watches that this node itself has waiting at the store. Such a watch says nothing for seconds, so
 * it is not taken at its word: when the store is at a revision that it should have told of and has
 * not, the store is asked the same again, without waiting. So a change is at most two proofs and a call
 * late where a watch's connection has gone silent: 1.3 s of a bound of 2 s, and what the revision that
 * the proofs bring lags behind. The watch's own end comes after 13.5 s.
 */
import type { ObjectStore, StoreChanges, StoreError, StoreResult } from '../source/object-store.js';
import { eraOf } from '../source/storeRevision.js';

/** Wait of a watch that only brings up to date, in milliseconds: the store takes no zero. */
export const CATCH_UP_WAIT_MS = 1;

/** What is needed of the node. */
export interface DirectWatchesContext {
  readonly store: ObjectStore;
  /** Newest revision up to which all changes of a kind are known here. */
  readonly knownRevision: (kind: string) => number | undefined;
  /** The changes of a kind after `from` are known here up to `revision`: there were none. */
  readonly onNoMissedChanges: (kind: string, from: number, revision: number) => void;
  /** A watch was silent although there were changes. */
  readonly onMissedChanges: (kind: string, revision: number) => void;
}

export interface DirectWatches {
  /** Resolves with undefined if it was released. */
  watch<Spec>(
    kind: string,
    revision: number,
    waitMs: number,
  ): Promise<StoreResult<StoreChanges<Spec>> | undefined>;
  /** Ends those that wait, without an answer: a reader of the zone is asked from now on. */
  releaseAll(): void;
  /** Ends those that wait, as failed: they were sent on connections, or to a store, now in doubt. */
  failAll(): void;
  /** The store has come back from a copy: ends those that wait from an earlier era, as with their history gone. */
  noteEra(era: number): void;
  /** The store is at this revision. */
  noteRevision(revision: number): void;
}

interface Waiting {
  readonly revision: number;
  readonly settle: (result: StoreResult<StoreChanges<never>> | undefined) => void;
  /** A revision that it had not told of at an earlier look. */
  untold: number | undefined;
  isChecked: boolean;
}

const ABANDONED: StoreError = { ok: false, failure: 'unknown', detail: 'abandoned' };

const HISTORY_GONE: StoreError = {
  ok: false,
  failure: 'history-gone',
  detail: 'the store has come back from a copy',
};

export function createDirectWatches(context: DirectWatchesContext): DirectWatches {
  const { store, knownRevision, onNoMissedChanges, onMissedChanges } = context;
  const waiting = new Map<string, Waiting>();

  const settleAll = (result: StoreError | undefined): void => {
    for (const watch of [...waiting.values()]) {
      watch.settle(result);
    }
  };

  const check = async (kind: string, watch: Waiting): Promise<void> => {
    watch.isChecked = true;
    // What rests in the pool may have gone silent with the watch, and would cost the question its time.
    store.closeIdle();
    const result = await store.watch<never>(kind, watch.revision, CATCH_UP_WAIT_MS);
    watch.isChecked = false;
    if (waiting.get(kind) !== watch) {
      return;
    }
    if (!result.ok) {
      // Any other failure says nothing of the watch: it is checked again at the next look.
      if (result.failure === 'history-gone') {
        watch.settle(result);
      }
      return;
    }
    watch.untold = undefined;
    const { events, revision } = result.value;
    if (events.length === 0) {
      onNoMissedChanges(kind, watch.revision, revision);
      return;
    }
    onMissedChanges(kind, revision);
    watch.settle(result);
  };

  return {
    watch: <Spec>(kind: string, revision: number, waitMs: number) =>
      new Promise<StoreResult<StoreChanges<Spec>> | undefined>((resolve) => {
        const controller = new AbortController();
        const watch: Waiting = {
          revision,
          untold: undefined,
          isChecked: false,
          settle: (result) => {
            if (waiting.get(kind) === watch) {
              waiting.delete(kind);
            }
            resolve(result);
            controller.abort();
          },
        };
        waiting.set(kind, watch);
        void store.watch<never>(kind, revision, waitMs, controller.signal).then(watch.settle);
      }),
    releaseAll: () => settleAll(undefined),
    failAll: () => settleAll(ABANDONED),
    noteEra: (era) => {
      for (const watch of [...waiting.values()].filter(({ revision }) => eraOf(revision) < era)) {
        watch.settle(HISTORY_GONE);
      }
    },
    noteRevision: (seen) => {
      for (const [kind, watch] of waiting) {
        const told = Math.max(watch.revision, knownRevision(kind) ?? 0);
        if (watch.untold !== undefined && watch.untold > told && !watch.isChecked) {
          void check(kind, watch);
        } else if (seen > told) {
          // At the first look the watch's own answer may still be on its way.
          watch.untold ??= seen;
        }
      }
    },
  };
}
