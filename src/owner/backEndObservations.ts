/** What the owner observes of its back end: how fast it is, how much it fails, whether it answers at all. */
import type { Clock } from '../model/clock.js';
import type { SuspendAwareTimers } from '../model/suspendAwareTimers.js';
import { createBackEndLoad } from './backEndLoad.js';
import { createFailureShare } from './failureShare.js';
import { createHangDetector } from './hangDetector.js';
import type { LoadReport } from './loadReport.js';
import type { OwnerOutcome, OwnerTask } from './owner.js';
import { monitorRun, type RunMonitor } from './runMonitor.js';
import { createServiceTimes, type ServiceTimes } from './serviceTimes.js';

/** What is needed of the owner. */
export interface BackEndObservationsContext {
  readonly clock: Clock;
  readonly timers: SuspendAwareTimers;
  /** The back end does not seem to answer a run. */
  readonly onOverdue: (run: OverdueRun) => void;
}

/** A run that the back end does not seem to answer. */
export interface OverdueRun {
  readonly requestId: string;
  readonly route: string;
  /** Milliseconds that tasks of this route usually take. */
  readonly usualMs: number;
  readonly waitedMs: number;
}

/** What a run has shown. */
export interface RunObservation {
  /** Milliseconds that it took; undefined when that says nothing of the back end. */
  readonly serviceMs: number | undefined;
  /** How long work took meanwhile, as a multiple of what is usual. */
  readonly slowness: number;
}

/** What the observations take of a task. */
export type ObservedTask = Pick<OwnerTask, 'requestId' | 'route' | 'repeatable' | 'onProgress'>;

/** A run that the back end works on. */
export interface ObservedRun {
  end(outcome: OwnerOutcome): RunObservation;
}

export interface BackEndObservations {
  readonly times: ServiceTimes;
  /** Share of what was sent to the back end that failed, from 0 to 1; a moving average. */
  readonly failureShare: number;
  /** How long work takes now, as a multiple of what is usual. */
  readonly slowness: number;
  /** Requests that wait in the back end. */
  readonly waiting: number;
  noteLoad(report: LoadReport): void;
  /** A task is about to be sent to a back end of so many slots. */
  begin(task: ObservedTask, slots: number): ObservedRun;
  /** Another back end is there. */
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

  /** Undefined until it is known how long the back end usually takes. */
  const watch = (task: ObservedTask, slots: number): RunMonitor | undefined => {
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
    const watched = watch(task, slots);
    return {
      end: (outcome) => {
        const isAnswered = outcome.kind === 'answer';
        const tookMs = clock.now() - sentAt;
        const wasOverdue = watched?.end(isAnswered) ?? false;
        // What was overdue has been counted then.
        if (isAnswered || !wasOverdue) {
          failures.note(outcome, tookMs, times.expectedMs(task.route));
        }
        return {
          serviceMs: isAnswered ? tookMs : undefined,
          // It has changed meanwhile: what the task met lies between.
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
