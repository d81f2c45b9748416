/**
 * Tells back ends that never answer a part of what they get from back ends that are merely slow. A run that
 * has had no word for several times the usual, while a whole round of runs that were sent later has been
 * answered, is overdue; so is one at a back end that answers nobody. One that is overdue at a back end which
 * has left others without an answer lately is likely to hang until its deadline: whoever sent it should ask
 * elsewhere, if it may be repeated.
 *
 * State and rules without timers: who watches a run asks again when it is told to.
 */

/**
 * A run is looked at after this many times the usual time, and so many milliseconds. Work takes up to seven
 * times the usual now and then; a look costs nothing unless others have overtaken the run.
 */
const OVERDUE_FACTOR = 3;
const OVERDUE_MARGIN_MS = 50;

/** A back end that has answered nobody for this many times the usual is silent, not slow. */
const SILENT_FACTOR = 6;

/** Weight of the newest run in the share of runs that hang. */
const WEIGHT = 0.1;

/** From this share on a run that is overdue counts as hung: twice what long work alone brings about. */
const HANGING_SHARE = 0.15;

/** Answers that are remembered: more runs than that need not overtake one. */
const REMEMBERED_ANSWERS = 16;

/** A run that the back end works on. */
export interface PendingRun {
  /** Steady time in milliseconds at which it was sent. */
  readonly sentAt: number;
  /** Its place among all runs, in the order in which they were sent. */
  readonly sequence: number;
  isOverdue: boolean;
}

/** What is to be done about a run that was looked at. */
export interface HangCheckResult {
  /** True the first time that a run is found to be overdue. */
  readonly isNewlyOverdue: boolean;
  readonly isHung: boolean;
  /** Milliseconds until it is to be looked at again; undefined when nothing new can come of that. */
  readonly recheckMs: number | undefined;
}

export interface HangDetector {
  begin(now: number): PendingRun;
  /** Milliseconds after which a run is first looked at, by the usual time of its route. */
  firstCheckMs(usualMs: number): number;
  check(work: PendingRun, usualMs: number, slots: number, now: number): HangCheckResult;
  /** The run has ended, with an answer of the back end or without. */
  end(work: PendingRun, isAnswered: boolean, now: number): void;
  /** Another back end is there. */
  reset(): void;
}

export function createHangDetector(): HangDetector {
  let sent = 0;
  /** Places of the runs that were answered last. */
  let answered: number[] = [];
  let answeredAt = Number.NEGATIVE_INFINITY;
  /** Share of the runs that hang, as a moving average. */
  let share = 0;

  const note = (hung: 0 | 1): void => {
    share += (hung - share) * WEIGHT;
  };

  const firstCheckMs = (usualMs: number): number => usualMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;

  return {
    begin: (now) => {
      sent += 1;
      return { sentAt: now, sequence: sent, isOverdue: false };
    },
    firstCheckMs,
    check: (work, usualMs, slots, now) => {
      const overtakers = answered.filter((sequence) => sequence > work.sequence);
      const isOvertaken = overtakers.length >= Math.min(slots, REMEMBERED_ANSWERS);
      const quietMs = now - Math.max(work.sentAt, answeredAt);
      const isSilent = quietMs >= usualMs * SILENT_FACTOR + OVERDUE_MARGIN_MS;
      const isNewlyOverdue = !work.isOverdue && (isOvertaken || isSilent);
      if (isNewlyOverdue) {
        work.isOverdue = true;
        note(1);
      }
      const isHung = work.isOverdue && share >= HANGING_SHARE;
      return { isNewlyOverdue, isHung, recheckMs: isHung ? undefined : firstCheckMs(usualMs) };
    },
    end: (work, isAnswered, now) => {
      if (isAnswered) {
        answered = [...answered.slice(1 - REMEMBERED_ANSWERS), work.sequence];
        answeredAt = now;
        note(0);
      }
    },
    reset: () => {
      answered = [];
      answeredAt = Number.NEGATIVE_INFINITY;
      share = 0;
    },
  };
}
