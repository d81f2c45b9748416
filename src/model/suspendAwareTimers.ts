/** Timers whose delay includes the time for which the machine is suspended. */
import type { NodeClocks } from './nodeClocks.js';

/** The timers of one node. */
export interface SuspendAwareTimers {
  /** Calls `callback` after `delayMs` milliseconds. Returns a function that cancels the timer. */
  set(callback: () => void, delayMs: number): () => void;
}

interface PendingTimer {
  /** Steady time in milliseconds. */
  readonly dueAt: number;
  readonly fire: () => void;
}

/**
 * The runtime's timers use a steady clock that stops during a suspension. After a resume, timers
 * that are due by the node's clock are therefore fired at once.
 */
export function createSuspendAwareTimers({
  clock,
  onResume,
}: Pick<NodeClocks, 'clock' | 'onResume'>): SuspendAwareTimers {
  const pending = new Set<PendingTimer>();
  onResume(() => {
    // This listener runs while some code reads the clock, so due timers fire after that code.
    setImmediate(() => {
      const now = clock.now();
      for (const pendingTimer of [...pending].filter(({ dueAt }) => dueAt <= now)) {
        pendingTimer.fire();
      }
    });
  });
  return {
    set: (callback, delayMs) => {
      const cancel = () => {
        clearTimeout(timer);
        pending.delete(pendingTimer);
      };
      const fire = () => {
        cancel();
        callback();
      };
      const timer = setTimeout(fire, delayMs);
      const pendingTimer = { dueAt: clock.now() + delayMs, fire };
      pending.add(pendingTimer);
      return cancel;
    },
  };
}
