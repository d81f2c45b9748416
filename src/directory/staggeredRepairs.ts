/**
 * Schedules repairs of the store after it was restored from a copy. Every node can make a repair
 * and one is enough: the nodes take turns by rank, and a node that sees the repair done cancels its
 * own.
 */
import { rankNames } from '../model/rendezvous.js';

/**
 * Time from one node's turn to the next, in milliseconds. A write takes some tens of milliseconds
 * to reach all nodes, and up to half a second through a reader that waits for more changes.
 */
export const STAGGER_MS = 700;

/** Dependencies on the rest of the node. */
export interface StaggeredRepairsContext {
  readonly own: () => string;
  /** Names of the nodes on record here. */
  readonly nodes: () => readonly string[];
}

export interface StaggeredRepairs {
  /** Runs `action` at this node's turn, unless {@link StaggeredRepairs.cancel} comes first. */
  schedule(key: string, action: () => void): void;
  /** Cancels the repair, since it is done or no longer needed. */
  cancel(key: string): void;
  stop(): void;
}

export function createStaggeredRepairs({ own, nodes }: StaggeredRepairsContext): StaggeredRepairs {
  const timers = new Map<string, NodeJS.Timeout>();
  const cancel = (key: string): void => {
    clearTimeout(timers.get(key));
    timers.delete(key);
  };
  return {
    schedule: (key, action) => {
      cancel(key);
      const turn = Math.max(0, rankNames(key, [...nodes()]).indexOf(own()));
      const timer = setTimeout(() => {
        timers.delete(key);
        action();
      }, turn * STAGGER_MS);
      timers.set(key, timer);
    },
    cancel,
    stop: () => {
      for (const timer of timers.values()) {
        clearTimeout(timer);
      }
      timers.clear();
    },
  };
}
