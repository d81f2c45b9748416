/**
 * Checks what back ends received: against the limits that they named, and after they reported that
 * they are leaving.
 */
import type { Arrival, StatedNotice } from './statedNotices.js';

/** Length of the windows in which requests are counted, in milliseconds. */
export const WINDOW_MS = 4_000;

/** A window may hold this multiple of what the limit allows, and so many requests more. */
const TOLERATED_FACTOR = 1.5;
const TOLERATED_REQUESTS = 5;

/** After a limit has fallen, the one before still counts for this time, in milliseconds. */
const LEARN_MS = 500;

/** Step in which a limit that changes is added up, in milliseconds. */
const STEP_MS = 50;

const MILLISECONDS_PER_SECOND = 1_000;

/** What one back end stated and received. */
export interface StatedHistory {
  readonly history: readonly StatedNotice[];
  readonly arrivals: readonly Arrival[];
}

/** A window in which a back end got more than its limit allows. */
export interface LimitExcess {
  readonly until: number;
  readonly count: number;
  readonly allowed: number;
}

/**
 * The windows that hold too much. Checked are those that begin `contactMs` or later after the
 * incarnation first named a limit, and in which it names one throughout.
 */
export function limitExcesses(
  { history, arrivals }: StatedHistory,
  contactMs: number,
): LimitExcess[] {
  return arrivals.flatMap((last, index) => {
    const from = last.at - WINDOW_MS;
    const lives = history.filter(({ bornAt }) => bornAt === last.bornAt);
    const first = lives.find(({ limit }) => typeof limit === 'number');
    if (!first || from < first.at + contactMs) {
      return [];
    }
    const allowed = allowedIn(lives, from, last.at);
    const count = arrivals.slice(0, index + 1).filter(({ at }) => at > from).length;
    return count > allowed ? [{ until: last.at, count, allowed }] : [];
  });
}

/** Requests that arrived from `afterMs` on after their back end had reported that it is leaving. */
export function arrivalsAfterLeaving(
  { history, arrivals }: StatedHistory,
  afterMs: number,
): Arrival[] {
  return arrivals.filter(({ at, bornAt }) => {
    const departure = history.find((notice) => notice.bornAt === bornAt && notice.isLeaving);
    return departure !== undefined && at > departure.at + afterMs;
  });
}

function allowedIn(notices: readonly StatedNotice[], from: number, until: number): number {
  let sumOfLimits = 0;
  for (let at = from; at < until; at += STEP_MS) {
    sumOfLimits += limitAt(notices, at);
  }
  const requests = (sumOfLimits * STEP_MS) / MILLISECONDS_PER_SECOND;
  return requests * TOLERATED_FACTOR + TOLERATED_REQUESTS;
}

/** The highest limit that held in the last `LEARN_MS`; infinite if there was none for a moment. */
function limitAt(notices: readonly StatedNotice[], at: number): number {
  const latestBefore = notices.findLast((notice) => notice.at <= at - LEARN_MS);
  const since = notices.filter((notice) => notice.at > at - LEARN_MS && notice.at <= at);
  const limits = [latestBefore, ...since].map((notice) =>
    typeof notice?.limit === 'number' ? notice.limit : Number.POSITIVE_INFINITY,
  );
  return Math.max(...limits);
}
