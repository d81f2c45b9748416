/**
 * Probes the store at regular intervals while this node reads from it directly. A watch may wait
 * for a long time; if only the answers to watches showed that the store is reachable, the watches
 * would have to be short and sent again and again.
 */
import type { Clock } from '../model/clock.js';
import type { ObjectStore } from '../source/object-store.js';
import type { StoreReachability } from './storeReachability.js';

/** Checks per probe interval whether a probe is due: a probe is late by one check at most. */
const CHECKS_PER_INTERVAL = 8;

/**
 * Time in milliseconds after which an unanswered probe makes the store suspected. It is a hundred
 * times the usual answer time of a store, and with a probe interval of 600 ms well below the 3 s
 * within which nodes must be in contact again. A later answer still counts. While the store is
 * suspected, this is also the interval between probes, so that a store that answers again is found
 * within this time.
 */
const PROBE_TIMEOUT_MS = 500;

/**
 * Consecutive failed probes that make the store suspected. A single failure can come from an idle
 * connection that the other side has closed.
 */
const MIN_FAILURES = 2;

/** Dependencies of the probe on the rest of the node. */
export interface StoreProbeContext {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly reach: StoreReachability;
  /** A kind whose objects are small. */
  readonly kind: string;
  /** Milliseconds from an answer of the store to the next probe. */
  readonly intervalMs: number;
  readonly isEnabled: () => boolean;
  /** Called with the revision from each answered probe; the store may be at a later one by then. */
  readonly onRevision: (revision: number) => void;
}

/** Probes the store while `isEnabled` returns true, until stopped. */
export interface StoreProbe {
  stop(): void;
}

export function startStoreProbe(context: StoreProbeContext): StoreProbe {
  const { clock, store, reach, kind, intervalMs, isEnabled, onRevision } = context;
  let sentAt = Number.NEGATIVE_INFINITY;
  let failures = 0;
  const sendProbe = async (): Promise<void> => {
    sentAt = clock.now();
    const timeout = setTimeout(
      () => reach.noteTimeout('a probe was not answered'),
      PROBE_TIMEOUT_MS,
    );
    const result = await store.probe(kind);
    clearTimeout(timeout);
    if (result.ok) {
      failures = 0;
      reach.noteAnswered();
      onRevision(result.value);
      return;
    }
    failures += 1;
    if (failures >= MIN_FAILURES) {
      reach.noteTimeout(`${result.failure}: ${result.detail}`);
    }
  };
  const timer = setInterval(() => {
    const isRetry = reach.isSuspected || failures > 0;
    const sinceMs = clock.now() - Math.max(sentAt, reach.answeredAt);
    if (sinceMs >= (isRetry ? PROBE_TIMEOUT_MS : intervalMs) && isEnabled()) {
      void sendProbe();
    }
  }, intervalMs / CHECKS_PER_INTERVAL);
  return { stop: () => clearInterval(timer) };
}
