/**
 * What the system had written and a store has lost when it came back from a copy is written again. Every node
 * knows it and one is enough: they take turns by rank, and who sees that it is done lets its turn pass.
 */
import { rankNames } from '../model/rendezvous.js';

/**
 * Time from one node's turn to the next, in milliseconds: a write and its way back to all nodes take some tens,
 * by a reader that waits for more changes up to half a second.
 */
export const STAGGER_MS = 700;

/** What is needed of the node. */
export interface StaggeredRepairsContext {
  readonly own: () => string;
  /** Nodes that are up, as far as is known here. */
  readonly nodes: () => readonly string[];
}

export interface StaggeredRepairs {
  /** Acts when it is this node's turn, unless it is told before that this is done. */
  schedule(key: string, act: () => void): void;
  /** It is done, or needs not be any more. */
  cancel(key: string): void;
  stop(): void;
}

export function createStaggeredRepairs({ own, nodes }: StaggeredRepairsContext): StaggeredRepairs {
  const waiting = new Map<string, NodeJS.Timeout>();
  const cancel = (key: string): void => {
    clearTimeout(waiting.get(key));
    waiting.delete(key);
  };
  return {
    schedule: (key, act) => {
      cancel(key);
      const turn = Math.max(0, rankNames(key, [...nodes()]).indexOf(own()));
      const timer = setTimeout(() => {
        waiting.delete(key);
        act();
      }, turn * STAGGER_MS);
      waiting.set(key, timer);
    },
    cancel,
    stop: () => {
      for (const timer of waiting.values()) {
        clearTimeout(timer);
      }
      waiting.clear();
    },
  };
}
