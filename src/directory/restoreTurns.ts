/**
 * What the system had written and a store has lost when it came back from a copy is written again. Every node
 * knows it and one is enough: they take turns by rank, and who sees that it is done lets its turn pass.
 */
import { rankNames } from '../model/rendezvous.js';

/**
 * Time from one node's turn to the next, in milliseconds: a write and its way back to all nodes take some tens,
 * by a reader that waits for more changes up to half a second.
 */
export const TURN_MS = 700;

/** What is needed of the node. */
export interface RestoreTurnsContext {
  readonly own: () => string;
  /** Nodes that are up, as far as is known here. */
  readonly nodes: () => readonly string[];
}

export interface RestoreTurns {
  /** Acts when it is this node's turn, unless it is told before that this is done. */
  take(key: string, act: () => void): void;
  /** It is done, or needs not be any more. */
  pass(key: string): void;
  stop(): void;
}

export function createRestoreTurns({ own, nodes }: RestoreTurnsContext): RestoreTurns {
  const waiting = new Map<string, NodeJS.Timeout>();
  const pass = (key: string): void => {
    clearTimeout(waiting.get(key));
    waiting.delete(key);
  };
  return {
    take: (key, act) => {
      pass(key);
      const turn = Math.max(0, rankNames(key, [...nodes()]).indexOf(own()));
      const timer = setTimeout(() => {
        waiting.delete(key);
        act();
      }, turn * TURN_MS);
      waiting.set(key, timer);
    },
    pass,
    stop: () => {
      for (const timer of waiting.values()) {
        clearTimeout(timer);
      }
      waiting.clear();
    },
  };
}
