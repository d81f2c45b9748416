/**
 * Whether the store is within reach of this node. A call that meets silence puts all in doubt that was
 * sent before it: connections may go silent for good while new ones work, and a store that is silent
 * for a while may never answer what it was sent meanwhile.
 */
import type { Clock } from '../model/clock.js';
import { createWaiters } from '../model/waiters.js';

/** What is needed of the node. */
export interface StoreReachabilityContext {
  readonly clock: Clock;
  /** The store has ceased to answer, or answers again; what was seen of that. */
  readonly onChange: (isInDoubt: boolean, detail: string) => void;
}

export interface StoreReachability {
  /** Steady time in milliseconds at which the store itself last answered; minus infinity if never. */
  readonly answeredAt: number;
  /** True from a silence until the next answer. */
  readonly isSuspected: boolean;
  noteAnswered(): void;
  noteTimeout(detail: string): void;
  /** Resolves when the store has answered again, or after `waitMs`. */
  untilReachable(waitMs: number): Promise<void>;
}

export function createStoreReachability({
  clock,
  onChange,
}: StoreReachabilityContext): StoreReachability {
  let answeredAt = Number.NEGATIVE_INFINITY;
  let isInDoubt = false;
  const waiting = createWaiters();
  const change = (next: boolean, detail: string) => {
    if (next !== isInDoubt) {
      isInDoubt = next;
      onChange(next, detail);
    }
  };
  return {
    get answeredAt() {
      return answeredAt;
    },
    get isSuspected() {
      return isInDoubt;
    },
    noteAnswered: () => {
      answeredAt = clock.now();
      change(false, 'answered');
      waiting.wakeAll();
    },
    noteTimeout: (detail) => change(true, detail),
    untilReachable: (waitMs) => waiting.wait(waitMs),
  };
}
