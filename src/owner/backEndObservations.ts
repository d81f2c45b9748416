/** Observes the owner's back end: its speed, its failures, and runs that it does not answer. */
import type { Clock } from '../model/clock.js';
import type { SuspendAwareTimers } from '../model/suspendAwareTimers.js';
import { createBackEndLoad } from './backEndLoad.js';
import { createFailureShare } from './failureShare.js';
import { createHangDetector } from './hangDetector.js';
import type { LoadReport } from './loadReport.js';
import type { OwnerOutcome, OwnerTask } from './owner.js';
import { monitorRun, type RunMonitor } from './runMonitor.js';
import { createServiceTimes, type ServiceTimes } from './serviceTimes.js';

/** The parts of the owner that the observations use. */
export interface BackEndObservationsContext {
  readonly clock: Clock;
  readonly timers: SuspendAwareTimers;
  /** A run is overdue: the back end does not seem to answer it. */
  readonly onOverdue: (run: OverdueRun) => void;
}

/** A run that is overdue: the back end does not seem to answer it. */
export interface OverdueRun {
  readonly requestId: string;
  readonly route: string;
  /** Milliseconds that tasks of this route usually take. */
  readonly usualMs: number;
  readonly waitedMs: number;
}

/** Measurements of a run that has ended. */
export interface RunObservation {
  /**
   * Milliseconds until the outcome was known. Undefined if the back end has not answered it to the
   * end.
   */
  readonly serviceMs: number | undefined;
  /** How long work took during the run, as a multiple of the usual time. */
  readonly slowness: number;
}

/** The members of a task that the observations use. */
export type ObservedTask = Pick<OwnerTask, 'requestId' | 'route' | 'repeatable' | 'onProgress'>;

/** A run in flight at the back end. */
export interface ObservedRun {
  /** The outcome is known, but a streamed answer may still break off. */
  noteOutcome(outcome: OwnerOutcome): void;
  /** The outcome is final. */
  end(outcome: OwnerOutcome): RunObservation;
}

export interface BackEndObservations {
  readonly times: ServiceTimes;
  /** Share of the tasks sent to the back end that failed, from 0 to 1; a moving average. */
  readonly failureShare: number;
  /** How long work takes now, as a multiple of the usual time. */
  readonly slowness: number;
  /** Requests that wait in the back end. */
  readonly waiting: number;
  noteLoad(report: LoadReport): void;
  /** Starts to observe a task that is about to be sent to a back end with `slots` slots. */
  begin(task: ObservedTask, slots: number): ObservedRun;
  /** Discards all but the service times. Called for a new incarnation. */
  reset(): void;
}

export function createBackEndObservations(
  context: BackEndObservationsContext,
): BackEndObservations {
  const { clock, timers } = context;
  const failures = createFailureShare();
  const hangDetector = createHangDetector();
  const load = createBackEndLoad();
  const slowness = (): number => load.slowness(clock.now());
  const times = createServiceTimes(slowness);

  /** Undefined until the back end has finished a task: without that, no usual time is known. */
  const monitor = (task: ObservedTask, slots: number): RunMonitor | undefined => {
    if (times.meanMs === undefined) {
      return undefined;
    }
    const { requestId, route, repeatable, onProgress } = task;
    const sentAt = clock.now();
    const usualMs = times.expectedMs(route);
    return monitorRun({
      clock,
      timers,
      hangDetector,
      usualMs,
      slots,
      onOverdue: () => {
        failures.noteOverdue();
        context.onOverdue({ requestId, route, usualMs, waitedMs: clock.now() - sentAt });
      },
      onHung: () => {
        if (repeatable) {
          onProgress('silent');
        }
      },
    });
  };

  const begin = (task: ObservedTask, slots: number): ObservedRun => {
    const sentAt = clock.now();
    const slownessAtStart = slowness();
    const runMonitor = monitor(task, slots);
    let tookMs = 0;
    let wasOverdue = false;
    return {
      noteOutcome: (outcome) => {
        tookMs = clock.now() - sentAt;
        wasOverdue = runMonitor?.end(outcome.kind === 'answer') ?? false;
      },
      end: (outcome) => {
        const isAnswered = outcome.kind === 'answer';
        // A run that became overdue was counted as a failure at that time.
        if (isAnswered || !wasOverdue) {
          const endedMs = isAnswered ? tookMs : clock.now() - sentAt;
          failures.note(outcome, endedMs, times.expectedMs(task.route));
        }
        return {
          serviceMs: isAnswered ? tookMs : undefined,
          // The slowness may have changed during the run, so its start and end are averaged.
          slowness: (slownessAtStart + slowness()) / 2,
        };
      },
    };
  };

  return {
    times,
    get failureShare() {
      return failures.value;
    },
    get slowness() {
      return slowness();
    },
    get waiting() {
      return load.waiting(clock.now());
    },
    noteLoad: (report) => load.note(report, clock.now()),
    begin,
    reset: () => {
      failures.reset();
      hangDetector.reset();
      load.reset();
    },
  };
}
