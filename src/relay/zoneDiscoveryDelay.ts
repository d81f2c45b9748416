/**
 * Delays the first watches of a node, so that nodes of a zone that start together find each other.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Clock } from '../model/clock.js';

/**
 * Delay of the first watches after the start of a node that has not found another node of its zone,
 * in milliseconds. Nodes that start together for the first time do not see each other in their
 * first lists of the directory. The watch of the directory begins first, so that the later watches
 * can already be sent to a reader. Both delays are well below the 3 s or more that users allow a
 * machine after its start.
 */
const FIRST_WATCH_MS = 1_500;
const LATER_WATCH_MS = 2_000;

/** Pause between two checks for other nodes of the zone, in milliseconds. */
const ZONE_CHECK_INTERVAL_MS = 50;

/** Dependencies of the delay on the rest of the node. */
export interface ZoneDiscoveryDelayContext {
  readonly clock: Clock;
  /** Kind of the records by which nodes find one another. */
  readonly nodeKind: string;
  /** True while this node has found no other node of its zone. */
  readonly isAlone: () => boolean;
}

/** Returns a function that resolves when a watch of the given kind may begin. */
export function createZoneDiscoveryDelay(
  context: ZoneDiscoveryDelayContext,
): (kind: string) => Promise<void> {
  const { clock, nodeKind, isAlone } = context;
  const startedAt = clock.now();
  return async (kind) => {
    const until = startedAt + (kind === nodeKind ? FIRST_WATCH_MS : LATER_WATCH_MS);
    while (isAlone() && clock.now() < until) {
      await delay(ZONE_CHECK_INTERVAL_MS);
    }
  };
}
