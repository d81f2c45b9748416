/**
 * Shows again and again that the store is within reach of a node that reads for others. Its watches
 * may wait for long: were their answers the only proof, they would have to be made over and over.
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
  /** An object that is small, whether or not it exists. */
  readonly object: { readonly kind: string; readonly name: string };
  /** Milliseconds after an answer of the store until it is asked again. */
  readonly paceMs: number;
  readonly isWanted: () => boolean;
}

/** Asks the store while others rely on this node; runs until stopped. */
export interface ReachProof {
  stop(): void;
}

export function startReachProof(context: ReachProofContext): ReachProof {
  const { clock, store, cache, object, paceMs, isWanted } = context;
  let isAsking = false;
  let isReached = true;
  const ask = async (): Promise<void> => {
    isAsking = true;
    const result = await store.probe(object.kind, object.name);
    isAsking = false;
    if (result.ok) {
      cache.noteAnswered();
    } else if (isReached) {
      // A watch that was lost on the way would be waited for to its end.
      store.abandonWatches();
    }
    isReached = result.ok;
  };
  const timer = setInterval(() => {
    const isDue = clock.now() - cache.answeredAt >= paceMs;
    if (isDue && !isAsking && isWanted()) {
      void ask();
    }
  }, paceMs / LOOKS);
  return { stop: () => clearInterval(timer) };
}
