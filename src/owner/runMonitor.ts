/**
 * Checks a run periodically until it ends and reports if the back end does not seem to answer it.
 */
import type { Clock } from '../model/clock.js';
import type { SuspendAwareTimers } from '../model/suspendAwareTimers.js';
import type { HangDetector } from './hangDetector.js';

/** The parameters of one run's monitor. */
export interface RunMonitorContext {
  readonly clock: Clock;
  readonly timers: SuspendAwareTimers;
  readonly hangDetector: HangDetector;
  /** Milliseconds that a run of this route usually takes. */
  readonly usualMs: number;
  readonly slots: number;
  /** The run is overdue. Called at most once. */
  readonly onOverdue: () => void;
  /** The run is unlikely to be answered and should be retried elsewhere. Called at most once. */
  readonly onHung: () => void;
}

export interface RunMonitor {
  /** Ends the monitoring. Returns whether the run was overdue. */
  end(isAnswered: boolean): boolean;
}

export function monitorRun(context: RunMonitorContext): RunMonitor {
  const { clock, timers, hangDetector, usualMs, slots, onOverdue, onHung } = context;
  const run = hangDetector.begin(clock.now());

  const check = (): void => {
    const result = hangDetector.check(run, usualMs, slots, clock.now());
    if (result.isNewlyOverdue) {
      onOverdue();
    }
    if (result.isHung) {
      onHung();
    }
    if (result.recheckMs !== undefined) {
      cancelCheck = timers.set(check, result.recheckMs);
    }
  };
  let cancelCheck = timers.set(check, hangDetector.firstCheckMs(usualMs));

  return {
    end: (isAnswered) => {
      cancelCheck();
      hangDetector.end(run, isAnswered, clock.now());
      return run.isOverdue;
    },
  };
}
