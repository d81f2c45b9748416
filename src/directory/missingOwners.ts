/**
 * Owners whose records are gone from the store. Records may lapse while the store is away, or turns
 * their nodes away: a node that lives and reaches the store puts its own back within two seconds,
 * and one that only does not reach the store serves on meanwhile. So such an owner is asked, and
 * forgotten only if it does not answer.
 */
import type { Clock } from '../model/clock.js';

/** An owner is asked this long after its record is gone, in milliseconds, and again as often. */
const MISSING_MS = 3_000;

/** What is needed of the directory's synchronisation. */
export interface MissingOwnersContext {
  readonly clock: Clock;
  readonly isAlive: (node: string) => Promise<boolean>;
  readonly forget: (node: string) => void;
}

export interface MissingOwners {
  /** The owner's record is gone. */
  add(node: string): void;
  /** The owner's record is there. */
  remove(node: string): void;
  /** Asks those that are due. */
  probeDue(): void;
}

export function createMissingOwners(context: MissingOwnersContext): MissingOwners {
  const { clock, isAlive, forget } = context;
  /** Steady time in milliseconds at which each one is asked. */
  const askAt = new Map<string, number>();
  const ask = async (node: string): Promise<void> => {
    const lives = await isAlive(node);
    // The record may have come back meanwhile.
    if (!lives && askAt.delete(node)) {
      forget(node);
    }
  };
  return {
    add: (node) => {
      if (!askAt.has(node)) {
        askAt.set(node, clock.now() + MISSING_MS);
      }
    },
    remove: (node) => {
      askAt.delete(node);
    },
    probeDue: () => {
      const now = clock.now();
      for (const [node, due] of askAt) {
        if (now >= due) {
          askAt.set(node, now + MISSING_MS);
          void ask(node);
        }
      }
    },
  };
}
