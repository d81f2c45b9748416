/**
 * Distinguishes back ends that never answer some of their requests from back ends that are only
 * slow. A run is overdue if it has had no answer for several times the usual time, while as many
 * later runs as the back end has slots have been answered. A run is also overdue if the back end
 * has answered no run for a longer time. An overdue run counts as hung if the back end has recently
 * left other runs unanswered: it is likely to hang until its deadline, so its sender should retry
 * it elsewhere if it may be repeated.
 *
 * The detector has no timers: the caller checks a run again after `recheckMs`.
 */

/**
 * A run is checked after this multiple of the usual time plus a margin in milliseconds. Work
 * occasionally takes up to seven times the usual time, but a check has no effect unless later runs
 * have overtaken the run or the back end is silent.
 */
const OVERDUE_FACTOR = 3;
const OVERDUE_MARGIN_MS = 50;

/** A back end that has answered no run for this multiple of the usual time is silent, not slow. */
const SILENT_FACTOR = 6;

/** Weight of the newest run in the share of runs that become overdue. */
const WEIGHT = 0.1;

/**
 * An overdue run counts as hung if at least this share of the runs becomes overdue: twice the share
 * that runs cause which only take long.
 */
const MIN_HANG_SHARE = 0.15;

/** Number of answers that are kept: this many later runs suffice to overtake a run. */
const KEPT_ANSWERS = 16;

/** A run in flight at the back end. */
export interface PendingRun {
  /** Steady time in milliseconds at which the run was sent. */
  readonly sentAt: number;
  /** Number of the run, in the order in which runs were sent. */
  readonly sequence: number;
  isOverdue: boolean;
}

/** Result of a check of one run. */
export interface HangCheckResult {
  /** True at the first check that finds the run overdue. */
  readonly isNewlyOverdue: boolean;
  readonly isHung: boolean;
  /** Milliseconds until the next check. Undefined if no further check is needed. */
  readonly recheckMs: number | undefined;
}

export interface HangDetector {
  begin(now: number): PendingRun;
  /** Milliseconds until the first check of a run, from the usual time of its route. */
  firstCheckMs(usualMs: number): number;
  check(run: PendingRun, usualMs: number, slots: number, now: number): HangCheckResult;
  /** Records the end of a run, with or without an answer of the back end. */
  end(run: PendingRun, isAnswered: boolean, now: number): void;
  /** Discards answers and the share of overdue runs. Called for a new incarnation. */
  reset(): void;
}

export function createHangDetector(): HangDetector {
  let sentCount = 0;
  /** Numbers of the runs that were answered last. */
  let answered: number[] = [];
  let answeredAt = Number.NEGATIVE_INFINITY;
  /** Share of the runs that become overdue, as a moving average. */
  let overdueShare = 0;

  const note = (overdue: 0 | 1): void => {
    overdueShare += (overdue - overdueShare) * WEIGHT;
  };

  const firstCheckMs = (usualMs: number): number => usualMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;

  return {
    begin: (now) => {
      sentCount += 1;
      return { sentAt: now, sequence: sentCount, isOverdue: false };
    },
    firstCheckMs,
    check: (run, usualMs, slots, now) => {
      const overtakers = answered.filter((sequence) => sequence > run.sequence);
      const isOvertaken = overtakers.length >= Math.min(slots, KEPT_ANSWERS);
      const unansweredMs = now - Math.max(run.sentAt, answeredAt);
      const isSilent = unansweredMs >= usualMs * SILENT_FACTOR + OVERDUE_MARGIN_MS;
      const isNewlyOverdue = !run.isOverdue && (isOvertaken || isSilent);
      if (isNewlyOverdue) {
        run.isOverdue = true;
        note(1);
      }
      const isHung = run.isOverdue && overdueShare >= MIN_HANG_SHARE;
      return { isNewlyOverdue, isHung, recheckMs: isHung ? undefined : firstCheckMs(usualMs) };
    },
    end: (run, isAnswered, now) => {
      if (isAnswered) {
        answered = [...answered.slice(1 - KEPT_ANSWERS), run.sequence];
        answeredAt = now;
        note(0);
      }
    },
    reset: () => {
      answered = [];
      answeredAt = Number.NEGATIVE_INFINITY;
      overdueShare = 0;
    },
  };
}
