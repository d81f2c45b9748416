/** What an owner tells of itself and of its tasks. */

/** One task that has left this owner, for logs and metrics. */
export interface TaskRecord {
  readonly requestId: string;
  /** See `fingerprintOf`. */
  readonly fingerprint: string;
  readonly route: string;
  readonly service: string;
  /** True if a running back end waits for the answer, as far as known. */
  readonly isCall: boolean;
  /** Kind of the outcome, with its status or reason. */
  readonly result: string;
  readonly instance: string | undefined;
  readonly queuedMs: number;
  /** Undefined when nothing was sent to the back end. */
  readonly backEndMs: number | undefined;
}

/** What others may know of this owner. */
export interface OwnerReport {
  readonly service: string | undefined;
  readonly ready: boolean;
  readonly inFlight: number;
  readonly queued: number;
  readonly slots: number;
  /** Milliseconds; undefined until the back end has finished a task. */
  readonly meanServiceMs: number | undefined;
  /** Share of what was sent to the back end that failed, from 0 to 1; a moving average. */
  readonly failureShare: number;
  /** Version of the back end's software, as its heartbeats tell it; undefined before the first one. */
  readonly backEndVersion: string | undefined;
  /**
   * Start of the back end's present life in Unix milliseconds of its own clock; undefined when it does
   * not tell. To be compared with other lives of the same back end only.
   */
  readonly bornAt: number | undefined;
  /** How long work takes the back end now, as a multiple of its usual time: 1 as usual. */
  readonly slowness: number;
  /** Requests that wait in the back end itself, from all senders, by its newest word. */
  readonly waiting: number;
}
