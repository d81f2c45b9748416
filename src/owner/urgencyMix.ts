/** How the back end's time divides among priorities, as a moving average. */

/** Weight of the newest task. */
const WEIGHT = 0.02;

/** A share above this makes no further difference: some time is always left for the rest. */
const MAX_SHARE = 0.8;

/** Watches the tasks of one back end. */
export interface UrgencyMix {
  /** A task has taken this many milliseconds. */
  note(priority: number, serviceMs: number): void;
  /** Share of the time that tasks more urgent than a priority take, from 0 to 0.8. */
  moreUrgentThan(priority: number): number;
  /** Mean time of tasks more urgent than a priority, in milliseconds; undefined when there are none. */
  meanOfMoreUrgentMs(priority: number): number | undefined;
}

export function createUrgencyMix(): UrgencyMix {
  const spent = new Map<number, number>();
  const counts = new Map<number, number>();
  const fade = (sums: Map<number, number>) => {
    for (const [known, sum] of sums) {
      sums.set(known, sum * (1 - WEIGHT));
    }
  };
  const sumOfMoreUrgent = (sums: Map<number, number>, priority: number) =>
    [...sums].reduce((sum, [known, part]) => sum + (known < priority ? part : 0), 0);
  return {
    note: (priority, serviceMs) => {
      fade(spent);
      fade(counts);
      spent.set(priority, (spent.get(priority) ?? 0) + serviceMs * WEIGHT);
      counts.set(priority, (counts.get(priority) ?? 0) + WEIGHT);
    },
    meanOfMoreUrgentMs: (priority) => {
      const count = sumOfMoreUrgent(counts, priority);
      return count === 0 ? undefined : sumOfMoreUrgent(spent, priority) / count;
    },
    moreUrgentThan: (priority) => {
      const all = sumOfMoreUrgent(spent, Number.POSITIVE_INFINITY);
      return all === 0 ? 0 : Math.min(MAX_SHARE, sumOfMoreUrgent(spent, priority) / all);
    },
  };
}
