/** How the back end's time divides among ranks (see `rankOf`), as a moving average. */

/** Weight of the newest task. */
const WEIGHT = 0.02;

/** A share above this makes no further difference: some time is always left for the rest. */
const MAX_SHARE = 0.8;

/** Watches the tasks of one back end. */
export interface PriorityLoad {
  /** A task has taken this many milliseconds. */
  note(rank: number, serviceMs: number): void;
  /** Share of the time that tasks of a smaller rank take, from 0 to MAX_SHARE. */
  shareBelowRank(rank: number): number;
}

export function createPriorityLoad(): PriorityLoad {
  const spent = new Map<number, number>();
  return {
    note: (rank, serviceMs) => {
      for (const [known, ms] of spent) {
        spent.set(known, ms * (1 - WEIGHT));
      }
      spent.set(rank, (spent.get(rank) ?? 0) + serviceMs * WEIGHT);
    },
    shareBelowRank: (rank) => {
      let all = 0;
      let urgent = 0;
      for (const [known, ms] of spent) {
        all += ms;
        urgent += known < rank ? ms : 0;
      }
      return all === 0 ? 0 : Math.min(MAX_SHARE, urgent / all);
    },
  };
}
