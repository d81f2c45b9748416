/**
 * Shows again and again that the store is within reach of a node that reads it itself. Its watches may
 * wait for long: were their answers the only proof, they would have to be made over and over.
 */
import type { Clock } from '../model/clock.js';
import type { ObjectStore } from '../source/object-store.js';
import type { StoreReachability } from './storeReachability.js';

/** Looks in the time of one proof: a proof is late by one of them at the most. */
const LOOKS = 8;

/**
 * A proof that is not answered within this time, in milliseconds, is met with silence: a hundred times
 * what a store usually takes, and with the pace of 600 ms well inside the 3 s within which nodes are to
 * be in touch again. An answer that comes later still counts. While in doubt, another one is sent as
 * often, so that a store which is back is found within it.
 */
const PATIENCE_MS = 500;

/** A connection that was closed at rest fails one call: only the next failure says something. */
const TELLING_FAILURES = 2;

/** What is needed of the node. */
export interface StoreProbeContext {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly reach: StoreReachability;
  /** A kind of small objects. */
  readonly kind: string;
  /** Milliseconds after an answer of the store until it is asked again. */
  readonly intervalMs: number;
  readonly isEnabled: () => boolean;
  /** The store is at this revision, or was lately. */
  readonly onRevision: (revision: number) => void;
}

/** Asks the store while this node relies on it; runs until stopped. */
export interface StoreProbe {
  stop(): void;
}

export function startStoreProbe(context: StoreProbeContext): StoreProbe {
  const { clock, store, reach, kind, intervalMs, isEnabled, onRevision } = context;
  let sentAt = Number.NEGATIVE_INFINITY;
  let failures = 0;
  const ask = async (): Promise<void> => {
    sentAt = clock.now();
    const silence = setTimeout(() => reach.noteTimeout('a proof was not answered'), PATIENCE_MS);
    const result = await store.probe(kind);
    clearTimeout(silence);
    if (result.ok) {
      failures = 0;
      reach.noteAnswered();
      onRevision(result.value);
      return;
    }
    failures += 1;
    if (failures >= TELLING_FAILURES) {
      reach.noteTimeout(`${result.failure}: ${result.detail}`);
    }
  };
  const timer = setInterval(() => {
    const isDoubtful = reach.isSuspected || failures > 0;
    const sinceMs = clock.now() - Math.max(sentAt, reach.answeredAt);
    if (sinceMs >= (isDoubtful ? PATIENCE_MS : intervalMs) && isEnabled()) {
      void ask();
    }
  }, intervalMs / LOOKS);
  return { stop: () => clearInterval(timer) };
}
