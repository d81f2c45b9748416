/** Timers that are also due when their time has passed while the machine was suspended. */
import type { NodeClocks } from './nodeClocks.js';

/** One set for each node. */
export interface SuspendAwareTimers {
  /** Calls back after so many milliseconds; returns how to take that back. */
  set(callback: () => void, delayMs: number): () => void;
}

interface Alarm {
  readonly dueAt: number;
  readonly ring: () => void;
}

/** The runtime's timers run on the steady clock, which stands still during a suspension. */
export function createSuspendAwareTimers({
  clock,
  onResume,
}: Pick<NodeClocks, 'clock' | 'onResume'>): SuspendAwareTimers {
  const pending = new Set<Alarm>();
  onResume(() => {
    // The clock is being read by someone: what is due rings after that.
    setImmediate(() => {
      const now = clock.now();
      for (const alarm of [...pending].filter(({ dueAt }) => dueAt <= now)) {
        alarm.ring();
      }
    });
  });
  return {
    set: (callback, delayMs) => {
      const cancel = () => {
        clearTimeout(timer);
        pending.delete(alarm);
      };
      const ring = () => {
        cancel();
        callback();
      };
      const timer = setTimeout(ring, delayMs);
      const alarm = { dueAt: clock.now() + delayMs, ring };
      pending.add(alarm);
      return cancel;
    },
  };
}
