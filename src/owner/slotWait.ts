/** A task's wait for a slot of the back end. */
import type { Clock } from '../model/clock.js';
import type { SuspendAwareTimers } from '../model/suspendAwareTimers.js';
import type { AdmissionControl, AdmissionRequest, Waiter } from './admission-control.js';
import { createRejection, type NotRunReason, type OwnerOutcome, type OwnerTask } from './owner.js';

/** What the wait needs of its owner. */
export interface SlotWaitContext {
  readonly clock: Clock;
  readonly timers: SuspendAwareTimers;
  readonly admission: AdmissionControl;
  /** Why no task may be taken now, if so. */
  readonly rejectionReason: () => NotRunReason | undefined;
}

/** Resolves with undefined when the task holds a slot. */
export function waitForSlot(
  task: OwnerTask,
  request: AdmissionRequest,
  { clock, timers, admission, rejectionReason }: SlotWaitContext,
): Promise<OwnerOutcome | undefined> {
  return new Promise((resolve) => {
    const now = clock.now();
    const waiter: Waiter = {
      request,
      since: now,
      admit: () => {
        admission.noteStarted(request, clock.now());
        release();
        resolve(undefined);
      },
      reject: (retryAfterMs) => {
        release();
        resolve(createRejection(rejectionReason() ?? 'busy', retryAfterMs));
      },
    };
    const forget = task.cancellation.onCancel(() => {
      cancelTimer();
      admission.remove(waiter);
      resolve(createRejection('cancelled'));
    });
    // No slot may become free for long: what can no longer be in time is told so at once.
    const cancelTimer = timers.set(() => {
      admission.remove(waiter);
      waiter.reject(admission.retryAfterMs());
    }, admission.latestStartAt(request) - now);
    const release = () => {
      cancelTimer();
      forget();
    };
    admission.enqueue(waiter);
    task.onProgress('queued');
  });
}
