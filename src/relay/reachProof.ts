/**
 * Shows again and again that the store is within reach of a node that reads for others. Its watches
 * may wait for long: were their answers the only proof, they would have to be made over and over.
 * A watch whose connection has gone silent while new ones work is found out as well: the store's
 * revision goes on, and no watch tells of it.
 */
import type { Clock } from '../model/clock.js';
import type { ObjectStore } from '../source/object-store.js';
import type { StoreCache } from './storeCache.js';

/** Looks in the time of one proof: a proof is late by one of them at the most. */
const LOOKS = 8;

/** What is needed of the node. */
export interface ReachProofContext {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly cache: StoreCache;
  /** A kind of small objects. */
  readonly kind: string;
  /** Milliseconds after an answer of the store until it is asked again. */
  readonly paceMs: number;
  readonly isWanted: () => boolean;
  /** The store has ceased to answer this node's proofs, or answers again; what was seen of that. */
  readonly onReach: (isReached: boolean, detail: string) => void;
  /** A watch of the store is taken for dead: it has not told of this revision. */
  readonly onUntold: (revision: number) => void;
}

/** Asks the store while others rely on this node; runs until stopped. */
export interface ReachProof {
  stop(): void;
}

/**
 * True when a revision of the store that was seen at an earlier look is still not told by any watch.
 * It may be of a kind that nobody here watches, so the answer is true only once for it.
 */
export function createUntoldRevision(): (seen: number, told: number) => boolean {
  let untold: number | undefined;
  let excused = 0;
  return (seen, told) => {
    if (seen <= Math.max(told, excused)) {
      untold = undefined;
      return false;
    }
    if (untold === undefined || untold <= told) {
      untold = seen;
      return false;
    }
    excused = seen;
    untold = undefined;
    return true;
  };
}

export function startReachProof(context: ReachProofContext): ReachProof {
  const { clock, store, cache, kind, paceMs, isWanted, onReach, onUntold } = context;
  let isAsking = false;
  let isReached = true;
  const staysUntold = createUntoldRevision();
  const ask = async (): Promise<void> => {
    isAsking = true;
    const result = await store.probe(kind);
    isAsking = false;
    if (result.ok) {
      cache.noteAnswered();
      if (staysUntold(result.value, cache.newestRevision)) {
        onUntold(result.value);
        store.abandonWatches();
      }
    } else if (isReached) {
      // A watch that was lost on the way would be waited for to its end.
      store.abandonWatches();
    }
    if (result.ok !== isReached) {
      isReached = result.ok;
      onReach(isReached, result.ok ? 'answered' : `${result.failure}: ${result.detail}`);
    }
  };
  const timer = setInterval(() => {
    const isDue = clock.now() - cache.answeredAt >= paceMs;
    if (isDue && !isAsking && isWanted()) {
      void ask();
    }
  }, paceMs / LOOKS);
  return { stop: () => clearInterval(timer) };
}
