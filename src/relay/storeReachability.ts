/**
 * Tracks whether the store answers this node. When a call is not answered in time, the store
 * becomes suspected, and every call sent before then may stay unanswered: connections can go silent
 * for good while new ones work, and a store that was silent for a while may never answer the calls
 * that it was sent in that time.
 */
import type { Clock } from '../model/clock.js';
import { createWaiters } from '../model/waiters.js';

/** Dependencies of the reachability tracker on the rest of the node. */
export interface StoreReachabilityContext {
  readonly clock: Clock;
  /** Called when the store becomes suspected or answers again; `detail` describes the cause. */
  readonly onChange: (isSuspected: boolean, detail: string) => void;
}

export interface StoreReachability {
  /**
   * Steady time in milliseconds of the store's last answer to this node; minus infinity if none.
   */
  readonly answeredAt: number;
  /** True from a call that is not answered in time until the store's next answer. */
  readonly isSuspected: boolean;
  noteAnswered(): void;
  noteTimeout(detail: string): void;
  /** Resolves at the store's next answer, or after `waitMs`. */
  untilReachable(waitMs: number): Promise<void>;
}

export function createStoreReachability({
  clock,
  onChange,
}: StoreReachabilityContext): StoreReachability {
  let answeredAt = Number.NEGATIVE_INFINITY;
  let isSuspected = false;
  const waiters = createWaiters();
  const setSuspected = (next: boolean, detail: string) => {
    if (next !== isSuspected) {
      isSuspected = next;
      onChange(next, detail);
    }
  };
  return {
    get answeredAt() {
      return answeredAt;
    },
    get isSuspected() {
      return isSuspected;
    },
    noteAnswered: () => {
      answeredAt = clock.now();
      setSuspected(false, 'answered');
      waiters.wakeAll();
    },
    noteTimeout: (detail) => setSuspected(true, detail),
    untilReachable: (waitMs) => waiters.wait(waitMs),
  };
}
