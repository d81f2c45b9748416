/**
 * Owners whose records are gone from the store. A record may expire while the store is down or
 * rejects its node's writes. A running node that reaches the store writes its record again within
 * two seconds; a node that only cannot reach the store still serves. So the owner is probed, and
 * removed only if it does not answer.
 */
import type { Clock } from '../model/clock.js';

/** Time from the loss of a record to the first probe, and between probes, in milliseconds. */
const PROBE_INTERVAL_MS = 3_000;

/** Dependencies on the directory's synchronisation. */
export interface MissingOwnersContext {
  readonly clock: Clock;
  readonly isAlive: (node: string) => Promise<boolean>;
  readonly forget: (node: string) => void;
}

export interface MissingOwners {
  /** Called when the owner's record has disappeared from the store. */
  add(node: string): void;
  /** Called when the owner's record is in the store, or the owner has left. */
  remove(node: string): void;
  /** Probes the owners that are due. */
  probeDue(): void;
}

export function createMissingOwners(context: MissingOwnersContext): MissingOwners {
  const { clock, isAlive, forget } = context;
  /** Steady time in milliseconds of each owner's next probe. */
  const nextProbeAt = new Map<string, number>();
  const probe = async (node: string): Promise<void> => {
    const isUp = await isAlive(node);
    // The owner is no longer in the map if its record has come back during the probe.
    if (!isUp && nextProbeAt.delete(node)) {
      forget(node);
    }
  };
  return {
    add: (node) => {
      if (!nextProbeAt.has(node)) {
        nextProbeAt.set(node, clock.now() + PROBE_INTERVAL_MS);
      }
    },
    remove: (node) => {
      nextProbeAt.delete(node);
    },
    probeDue: () => {
      const now = clock.now();
      for (const [node, due] of nextProbeAt) {
        if (now >= due) {
          nextProbeAt.set(node, now + PROBE_INTERVAL_MS);
          void probe(node);
        }
      }
    },
  };
}
