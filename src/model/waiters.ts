/** Callers that wait for one event, each for a time of its own at the longest. */

export interface Waiters {
  /** Resolves at the next {@link wakeAll}, or after so many milliseconds. */
  wait(longestMs: number): Promise<void>;
  wakeAll(): void;
}

export function createWaiters(): Waiters {
  const waiting = new Set<() => void>();
  return {
    wait: (longestMs) =>
      new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, longestMs);
        waiting.add(wake);
      }),
    wakeAll: () => {
      for (const wake of [...waiting]) {
        wake();
      }
    },
  };
}
