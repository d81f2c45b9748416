/** Starts waiting tasks when the back end's limit allows the next one. */
import type { Clock } from '../model/clock.js';
import type { SuspendAwareTimers } from '../model/suspendAwareTimers.js';
import type { AdmissionControl } from './admission-control.js';
import type { BackEndLimit } from './backEndLimit.js';

/** The parts of the owner that are used. */
export interface LimitedStartsContext {
  readonly clock: Clock;
  readonly timers: SuspendAwareTimers;
  readonly admission: Pick<AdmissionControl, 'queued' | 'startWaiting' | 'rejectLimited'>;
  readonly limit: Pick<BackEndLimit, 'waitMs'>;
}

export interface LimitedStarts {
  /**
   * Starts the tasks that may start, rejects those for which the limit is too low, and sets a timer
   * if others wait for it.
   */
  update(): void;
  stop(): void;
}

export function createLimitedStarts(context: LimitedStartsContext): LimitedStarts {
  const { clock, timers, admission, limit } = context;
  let cancelTimer: (() => void) | undefined;

  const update = (): void => {
    cancelTimer?.();
    cancelTimer = undefined;
    if (admission.queued === 0) {
      return;
    }
    admission.startWaiting(clock.now());
    admission.rejectLimited(clock.now());
    const waitMs = limit.waitMs(0, clock.now());
    if (admission.queued > 0 && waitMs > 0) {
      cancelTimer = timers.set(update, Math.ceil(waitMs));
    }
  };

  return { update, stop: () => cancelTimer?.() };
}
