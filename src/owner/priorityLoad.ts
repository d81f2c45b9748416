/** Measures how the back end's time divides among ranks (see `rankOf`), as a moving average. */

/** Weight of the newest task. */
const WEIGHT = 0.02;

/** Upper limit of the share, so that some time is always left for other ranks. */
const MAX_SHARE = 0.8;

/** Measures the tasks of one back end. */
export interface PriorityLoad {
  /** Records the time that a task has taken, in milliseconds. */
  note(rank: number, serviceMs: number): void;
  /**
   * Share of the time that tasks of a smaller rank take, from 0 to MAX_SHARE; 0 before the first
   * task.
   */
  shareBelowRank(rank: number): number;
}

export function createPriorityLoad(): PriorityLoad {
  const msByRank = new Map<number, number>();
  return {
    note: (rank, serviceMs) => {
      for (const [otherRank, ms] of msByRank) {
        msByRank.set(otherRank, ms * (1 - WEIGHT));
      }
      msByRank.set(rank, (msByRank.get(rank) ?? 0) + serviceMs * WEIGHT);
    },
    shareBelowRank: (rank) => {
      let totalMs = 0;
      let moreUrgentMs = 0;
      for (const [otherRank, ms] of msByRank) {
        totalMs += ms;
        moreUrgentMs += otherRank < rank ? ms : 0;
      }
      return totalMs === 0 ? 0 : Math.min(MAX_SHARE, moreUrgentMs / totalMs);
    },
  };
}
