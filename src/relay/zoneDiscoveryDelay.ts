/** Gives the nodes of a zone that start together the time to find one another. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Clock } from '../model/clock.js';

/**
 * Nodes that start together for the first time see none of the others in their first lists. The
 * watches of a node that knows no other of its zone begin this long after its start, in milliseconds:
 * the directory's first, so that the next one already knows whom to ask. Both are well inside the 3 s
 * or more that the users give a machine after its start.
 */
const FIRST_WATCH_MS = 1_500;
const LATER_WATCH_MS = 2_000;

/** Pause between two looks whether the zone is known, in milliseconds. */
const ZONE_TICK_MS = 50;

/** What is needed of the node. */
export interface ZoneDiscoveryDelayContext {
  readonly clock: Clock;
  /** Kind of the records by which nodes find one another. */
  readonly nodeKind: string;
  /** True while no other node of the zone is known. */
  readonly isAlone: () => boolean;
}

/** Resolves when a watch of this kind may begin. */
export function createZoneDiscoveryDelay(
  context: ZoneDiscoveryDelayContext,
): (kind: string) => Promise<void> {
  const { clock, nodeKind, isAlone } = context;
  const startedAt = clock.now();
  return async (kind) => {
    const until = startedAt + (kind === nodeKind ? FIRST_WATCH_MS : LATER_WATCH_MS);
    while (isAlone() && clock.now() < until) {
      await delay(ZONE_TICK_MS);
    }
  };
}
