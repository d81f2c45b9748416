/** Lets callers wait for an event, each with its own timeout. */

export interface Waiters {
  /** Resolves at the next {@link wakeAll}, or after `timeoutMs` milliseconds. */
  wait(timeoutMs: number): Promise<void>;
  /** Signals the event: wakes all callers that are waiting now. */
  wakeAll(): void;
}

export function createWaiters(): Waiters {
  const waiting = new Set<() => void>();
  return {
    wait: (timeoutMs) =>
      new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, timeoutMs);
        waiting.add(wake);
      }),
    wakeAll: () => {
      for (const wake of [...waiting]) {
        wake();
      }
    },
  };
}
