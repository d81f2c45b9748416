/** Looks at a run from time to time until it ends, and tells when the back end seems not to answer it. */
import type { Clock } from '../model/clock.js';
import type { SuspendAwareTimers } from '../model/suspendAwareTimers.js';
import type { HangDetector } from './hangDetector.js';

/** What a watch of one run is given. */
export interface RunMonitorContext {
  readonly clock: Clock;
  readonly timers: SuspendAwareTimers;
  readonly hangDetector: HangDetector;
  /** Milliseconds that a run of this route usually takes. */
  readonly usualMs: number;
  readonly slots: number;
  /** The run is overdue; called once at the most. */
  readonly onOverdue: () => void;
  /** The run will hardly be answered: it is to be tried elsewhere; called once at the most. */
  readonly onHung: () => void;
}

export interface RunMonitor {
  /** The run has ended; returns whether it was overdue. */
  end(isAnswered: boolean): boolean;
}

export function monitorRun(context: RunMonitorContext): RunMonitor {
  const { clock, timers, hangDetector, usualMs, slots, onOverdue, onHung } = context;
  const work = hangDetector.begin(clock.now());

  const look = (): void => {
    const finding = hangDetector.check(work, usualMs, slots, clock.now());
    if (finding.isNewlyOverdue) {
      onOverdue();
    }
    if (finding.isHung) {
      onHung();
    }
    if (finding.recheckMs !== undefined) {
      cancelLook = timers.set(look, finding.recheckMs);
    }
  };
  let cancelLook = timers.set(look, hangDetector.firstCheckMs(usualMs));

  return {
    end: (isAnswered) => {
      cancelLook();
      hangDetector.end(work, isAnswered, clock.now());
      return work.isOverdue;
    },
  };
}
