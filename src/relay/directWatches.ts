/**
 * The watches that this node has waiting at the store itself. A watch that waits for seconds looks
 * the same as one whose connection has gone silent. So when a probe finds the store at a revision
 * that a watch should have reported and has not, the watch's request is sent again, without a
 * wait. A change on a silent connection is therefore late by at most two probes and one call: 1.3 s
 * of an allowed 2 s, plus the time by which the revision from the probes lags behind. Without this
 * check, the watch would end only after 13.5 s.
 */
import type { ObjectStore, StoreChanges, StoreError, StoreResult } from '../source/object-store.js';
import { eraOf } from '../source/storeRevision.js';

/**
 * Wait in milliseconds of a watch that only fetches the changes so far. The store does not accept
 * zero.
 */
export const CATCH_UP_WAIT_MS = 1;

/** Dependencies of the direct watches on the rest of the node. */
export interface DirectWatchesContext {
  readonly store: ObjectStore;
  /** Newest revision up to which this node has all changes of a kind. */
  readonly knownRevision: (kind: string) => number | undefined;
  /** Called when a check shows that a kind has not changed after `from` up to `revision`. */
  readonly onNoMissedChanges: (kind: string, from: number, revision: number) => void;
  /** Called when a check returns changes that a watch has not reported. */
  readonly onMissedChanges: (kind: string, revision: number) => void;
}

export interface DirectWatches {
  /** Sends a watch to the store. Resolves with undefined if the watch is released. */
  watch<Spec>(
    kind: string,
    revision: number,
    waitMs: number,
  ): Promise<StoreResult<StoreChanges<Spec>> | undefined>;
  /** Ends all waiting watches without a result, so that the caller can ask a reader of the zone. */
  releaseAll(): void;
  /** Ends all waiting watches with an error: their connections or the store may be silent. */
  failAll(): void;
  /**
   * Notes the era of the store. Waiting watches from an earlier era end with `history-gone`, since
   * the store has been restored from a copy.
   */
  noteEra(era: number): void;
  /**
   * Notes a revision that the store has reached. A watch that has still not reported it at a later
   * call is checked.
   */
  noteRevision(revision: number): void;
}

interface PendingWatch {
  readonly revision: number;
  readonly settle: (result: StoreResult<StoreChanges<never>> | undefined) => void;
  /** Revision of the store that the watch had not reported at an earlier call of `noteRevision`. */
  unreported: number | undefined;
  /** True while the watch's request is sent again without a wait. */
  isChecking: boolean;
}

const WATCH_ABORTED: StoreError = {
  ok: false,
  failure: 'unknown',
  detail: 'watch aborted: the store does not answer',
};

const HISTORY_GONE: StoreError = {
  ok: false,
  failure: 'history-gone',
  detail: 'the store has been restored from a copy',
};

export function createDirectWatches(context: DirectWatchesContext): DirectWatches {
  const { store, knownRevision, onNoMissedChanges, onMissedChanges } = context;
  const pending = new Map<string, PendingWatch>();

  const settleAll = (result: StoreError | undefined): void => {
    for (const watch of [...pending.values()]) {
      watch.settle(result);
    }
  };

  const check = async (kind: string, watch: PendingWatch): Promise<void> => {
    watch.isChecking = true;
    // The idle connections of the pool may have gone silent together with the watch's connection,
    // and a check that is sent on one of them would time out.
    store.closeIdle();
    const result = await store.watch<never>(kind, watch.revision, CATCH_UP_WAIT_MS);
    watch.isChecking = false;
    if (pending.get(kind) !== watch) {
      return;
    }
    if (!result.ok) {
      // Any other failure shows nothing about the watch: the next `noteRevision` checks it again.
      if (result.failure === 'history-gone') {
        watch.settle(result);
      }
      return;
    }
    watch.unreported = undefined;
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
        const watch: PendingWatch = {
          revision,
          unreported: undefined,
          isChecking: false,
          settle: (result) => {
            if (pending.get(kind) === watch) {
              pending.delete(kind);
            }
            resolve(result);
            controller.abort();
          },
        };
        pending.set(kind, watch);
        void store.watch<never>(kind, revision, waitMs, controller.signal).then(watch.settle);
      }),
    releaseAll: () => settleAll(undefined),
    failAll: () => settleAll(WATCH_ABORTED),
    noteEra: (era) => {
      for (const watch of [...pending.values()].filter(({ revision }) => eraOf(revision) < era)) {
        watch.settle(HISTORY_GONE);
      }
    },
    noteRevision: (storeRevision) => {
      for (const [kind, watch] of pending) {
        const reported = Math.max(watch.revision, knownRevision(kind) ?? 0);
        if (watch.unreported !== undefined && watch.unreported > reported && !watch.isChecking) {
          void check(kind, watch);
        } else if (storeRevision > reported) {
          // The watch's own answer may still be on its way, so the check waits for the next call.
          watch.unreported ??= storeRevision;
        }
      }
    },
  };
}
