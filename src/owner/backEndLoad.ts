/** What the owner believes of the load of its back end, from the back end's newest reports. */
import type { LoadReport } from './loadReport.js';

/**
 * A report counts half after this time, in milliseconds. Other programs on the machine come and go several
 * times a second: what is older than two of their changes says little, and one report alone is noise.
 */
const HALF_LIFE_MS = 250;

/** Without a report for so long, in milliseconds, the back end counts as running at its usual speed. */
const LIFETIME_MS = 2_000;

export interface BackEndLoad {
  /** The back end has told its load. */
  note(report: LoadReport, now: number): void;
  /** How long work takes now, as a multiple of what is usual; 1 when nothing is known. */
  slowness(now: number): number;
  /** Requests that wait in the back end. */
  waiting(now: number): number;
  /** Another back end is there. */
  reset(): void;
}

/** Times are steady times in milliseconds. */
export function createBackEndLoad(): BackEndLoad {
  let slowness = 1;
  let waiting = 0;
  let slownessAt = Number.NEGATIVE_INFINITY;
  let reportedAt = Number.NEGATIVE_INFINITY;

  return {
    note: (report, now) => {
      waiting = report.waiting;
      reportedAt = now;
      if (report.slowness !== undefined) {
        const weight = 1 - 0.5 ** ((now - slownessAt) / HALF_LIFE_MS);
        // Reports that come at the same moment count as well, a little each.
        slowness += (report.slowness - slowness) * Math.max(weight, MIN_WEIGHT);
        slownessAt = now;
      }
    },
    slowness: (now) => {
      const belief = Math.max(0, 1 - (now - slownessAt) / LIFETIME_MS);
      return 1 + (slowness - 1) * belief;
    },
    waiting: (now) => (now - reportedAt < LIFETIME_MS ? waiting : 0),
    reset: () => {
      slowness = 1;
      waiting = 0;
      slownessAt = Number.NEGATIVE_INFINITY;
      reportedAt = Number.NEGATIVE_INFINITY;
    },
  };
}

/** Least weight of a report, however soon it follows on another. */
const MIN_WEIGHT = 0.05;
