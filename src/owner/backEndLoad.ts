/** Estimates the load of the owner's back end from the back end's latest reports. */
import type { LoadReport } from './loadReport.js';

/**
 * Half-life of a report's weight, in milliseconds. The load by other programs on the machine
 * changes several times a second: a report older than two such changes says little, and a single
 * report is noise.
 */
const HALF_LIFE_MS = 250;

/**
 * Without a report for this time, in milliseconds, the back end is assumed to run at usual speed.
 */
const LIFETIME_MS = 2_000;

export interface BackEndLoad {
  /** Records a load report of the back end. */
  note(report: LoadReport, now: number): void;
  /** How long work takes now, as a multiple of the usual time; 1 without reports. */
  slowness(now: number): number;
  /** Requests that wait in the back end; 0 without a recent report. */
  waiting(now: number): number;
  /** Discards all reports. Called for a new incarnation. */
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
        // Reports that arrive at the same moment each have a small weight too.
        slowness += (report.slowness - slowness) * Math.max(weight, MIN_WEIGHT);
        slownessAt = now;
      }
    },
    slowness: (now) => {
      const confidence = Math.max(0, 1 - (now - slownessAt) / LIFETIME_MS);
      return 1 + (slowness - 1) * confidence;
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

/** Minimum weight of a report, however soon it follows another. */
const MIN_WEIGHT = 0.05;
