/** Data that an owner provides: its state, and a record of each task. */
import type { AdmissionControl } from './admission-control.js';
import type { BackEndPresence } from './back-end-presence.js';
import type { BackEndLimit } from './backEndLimit.js';
import type { BackEndObservations } from './backEndObservations.js';
import type { CallRate, CallRates } from './callRates.js';

/** A task that has ended or has been rejected at this owner, for logs and metrics. */
export interface TaskRecord {
  readonly requestId: string;
  /** See `fingerprintOf`. */
  readonly fingerprint: string;
  readonly route: string;
  readonly service: string;
  /** True if the task's route has been detected as called by running back ends. */
  readonly isCall: boolean;
  /**
   * Kind of the outcome, with its status or reason; `broken-off` with the reason if the answer was
   * cut behind its head.
   */
  readonly result: string;
  readonly instance: string | undefined;
  readonly queuedMs: number;
  /**
   * Milliseconds until the back end's answer began, or until the outcome was known. Undefined if
   * nothing was sent to the back end.
   */
  readonly backEndMs: number | undefined;
  /** Milliseconds for the rest of a streamed answer. Undefined for any other outcome. */
  readonly restMs: number | undefined;
}

/** State of this owner, reported to other nodes. */
export interface OwnerReport {
  readonly service: string | undefined;
  readonly ready: boolean;
  readonly inFlight: number;
  readonly queued: number;
  readonly slots: number;
  /** Mean time of a task in milliseconds. Undefined until the back end has finished one. */
  readonly meanServiceMs: number | undefined;
  /** Share of the tasks sent to the back end that failed, from 0 to 1; a moving average. */
  readonly failureShare: number;
  /** Version of the back end's software from its heartbeats. Undefined before the first one. */
  readonly backEndVersion: string | undefined;
  /**
   * Start of the back end's present incarnation, in Unix milliseconds of its own clock. Undefined
   * if not reported. Comparable only with other incarnations of the same back end.
   */
  readonly bornAt: number | undefined;
  /** How long work takes the back end now, as a multiple of its usual time. */
  readonly slowness: number;
  /** Requests from all senders that wait in the back end, from its latest load report. */
  readonly waiting: number;
  /** Requests per second that the back end accepts. Undefined if it names no limit. */
  readonly limitPerS: number | undefined;
  /** Milliseconds until the limit allows a task that arrives now; 0 without a limit. */
  readonly limitWaitMs: number;
  /** Calls that the back end makes for each request. Undefined until this is known. */
  readonly callRates: readonly CallRate[] | undefined;
}

/** The parts of the owner that a report describes. */
export interface ReportedParts {
  readonly presence: BackEndPresence;
  readonly admission: AdmissionControl;
  readonly observations: BackEndObservations;
  readonly limit: BackEndLimit;
  readonly callRates: CallRates;
  readonly ready: boolean;
  /** Steady time in milliseconds. */
  readonly now: number;
}

export function ownerReportOf(parts: ReportedParts): OwnerReport {
  const { presence, admission, observations, limit, callRates, ready, now } = parts;
  return {
    service: presence.backEnd?.service,
    ready,
    inFlight: admission.inFlight,
    queued: admission.queued,
    slots: admission.capacity,
    meanServiceMs: admission.meanServiceMs,
    failureShare: observations.failureShare,
    backEndVersion: presence.backEnd?.version,
    bornAt: presence.backEnd?.bornAt,
    slowness: observations.slowness,
    waiting: observations.waiting,
    limitPerS: limit.perSecond,
    limitWaitMs: admission.limitWaitMs(now),
    callRates: callRates.current(now),
  };
}
