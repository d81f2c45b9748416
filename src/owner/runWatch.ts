/** Looks at a run from time to time until it ends, and tells when the back end seems not to answer it. */
import type { Clock } from '../model/clock.js';
import type { SuspendAwareTimers } from '../model/suspendAwareTimers.js';
import type { HangWatch } from './hangWatch.js';

/** What a watch of one run is given. */
export interface RunWatchContext {
  readonly clock: Clock;
  readonly alarms: SuspendAwareTimers;
  readonly hangs: HangWatch;
  /** Milliseconds that a run of this route usually takes. */
  readonly usualMs: number;
  readonly slots: number;
  /** The run is overdue; called once at the most. */
  readonly onOverdue: () => void;
  /** The run will hardly be answered: it is to be tried elsewhere; called once at the most. */
  readonly onHung: () => void;
}

export interface RunWatch {
  /** The run has ended; returns whether it was overdue. */
  end(isAnswered: boolean): boolean;
}

export function watchRun(context: RunWatchContext): RunWatch {
  const { clock, alarms, hangs, usualMs, slots, onOverdue, onHung } = context;
  const work = hangs.begin(clock.now());

  const look = (): void => {
    const finding = hangs.look(work, usualMs, slots, clock.now());
    if (finding.isNewlyOverdue) {
      onOverdue();
    }
    if (finding.isHung) {
      onHung();
    }
    if (finding.lookAgainMs !== undefined) {
      cancelLook = alarms.set(look, finding.lookAgainMs);
    }
  };
  let cancelLook = alarms.set(look, hangs.firstLookMs(usualMs));

  return {
    end: (isAnswered) => {
      cancelLook();
      hangs.end(work, isAnswered, clock.now());
      return work.isOverdue;
    },
  };
}
