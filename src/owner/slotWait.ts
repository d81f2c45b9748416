/** Queues a task until it gets a slot of the back end, is rejected or is cancelled. */
import type { Clock } from '../model/clock.js';
import type { SuspendAwareTimers } from '../model/suspendAwareTimers.js';
import type { AdmissionControl } from './admission-control.js';
import type { AdmissionRequest, Waiter } from './admissionRequest.js';
import { createRejection, type NotRunReason, type OwnerOutcome, type OwnerTask } from './owner.js';

/** The parts of the owner that the wait uses. */
export interface SlotWaitContext {
  readonly clock: Clock;
  readonly timers: SuspendAwareTimers;
  readonly admission: AdmissionControl;
  /** Why the owner accepts no tasks now. Undefined if it accepts them. */
  readonly rejectionReason: () => NotRunReason | undefined;
}

/** Resolves with undefined when the task has a slot, otherwise with its rejection. */
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
        const reason = rejectionReason() ?? admission.fullReason(clock.now());
        resolve(createRejection(reason, retryAfterMs));
      },
    };
    const removeCancelListener = task.cancellation.onCancel(() => {
      cancelTimer();
      admission.remove(waiter);
      resolve(createRejection('cancelled'));
    });
    // No slot may become free for a long time, so a task is rejected as soon as it can't be in
    // time.
    const cancelTimer = timers.set(() => {
      admission.remove(waiter);
      waiter.reject(admission.retryAfterMs(clock.now()));
    }, admission.latestStartAt(request) - now);
    const release = () => {
      cancelTimer();
      removeCancelListener();
    };
    admission.enqueue(waiter);
    task.onProgress('queued');
  });
}
