/** Runs the tasks that the owner has admitted, and holds their slots until their outcomes are final. */
import type { Clock } from '../model/clock.js';
import type { BackEnd } from '../registry/back-end-registry.js';
import type { AdmissionControl } from './admission-control.js';
import type { AdmissionRequest } from './admissionRequest.js';
import type { BackEndLimit } from './backEndLimit.js';
import type { BackEndObservations, ObservedRun } from './backEndObservations.js';
import type { BackEndSender } from './backEndSender.js';
import type { CallRates } from './callRates.js';
import type { LimitedStarts } from './limitedStarts.js';
import type { MessageBody } from './message-body.js';
import { whenEnded } from './outcomeEnd.js';
import { createRejection, type NotRunReason, type OwnerOutcome, type OwnerTask } from './owner.js';
import type { TaskTimes } from './taskRecord.js';

/** The parts of the owner that admitted tasks use. */
export interface AdmittedTasksContext {
  readonly clock: Clock;
  readonly callRates: CallRates;
  readonly admission: AdmissionControl;
  readonly observations: BackEndObservations;
  readonly limit: BackEndLimit;
  readonly limitedStarts: LimitedStarts;
  readonly sender: BackEndSender;
  /** The back end that is present now. */
  readonly currentBackEnd: () => BackEnd | undefined;
  /** Why an admitted task must not be sent any more, when its body has arrived. */
  readonly rejectionReason: (
    task: OwnerTask,
    request: AdmissionRequest,
  ) => NotRunReason | undefined;
}

export interface AdmittedTasks {
  /** Runs a task that has been counted as started. Sets the times of its record. */
  run(task: OwnerTask, request: AdmissionRequest, times: TaskTimes): Promise<OwnerOutcome>;
}

/** The outcome of a task, with its run if it was sent to the back end. */
interface SentTask {
  readonly outcome: OwnerOutcome;
  readonly run?: ObservedRun;
}

export function createAdmittedTasks(context: AdmittedTasksContext): AdmittedTasks {
  const { clock, callRates, admission, observations, limit, limitedStarts, sender } = context;
  const { currentBackEnd, rejectionReason } = context;

  /** A long body can be sent only once, so its task is not rejected any more. */
  const limitReason = ({ kind }: MessageBody, admittedAt: number): NotRunReason | undefined => {
    const isConfirmed = limit.confirm(admittedAt, clock.now());
    return isConfirmed || kind === 'stream' ? undefined : 'limited';
  };

  const send = async (
    task: OwnerTask,
    request: AdmissionRequest,
    times: TaskTimes,
    admittedAt: number,
  ): Promise<SentTask> => {
    let body: MessageBody;
    try {
      task.onProgress('admitted');
      body = await task.loadBody();
    } catch {
      // The body ended early, before anything was sent to the back end.
      return { outcome: createRejection('cancelled') };
    }
    const reason = rejectionReason(task, request) ?? limitReason(body, admittedAt);
    if (reason) {
      return { outcome: createRejection(reason) };
    }
    times.sentAt = clock.now();
    callRates.noteRun(times.sentAt);
    const run = observations.begin(task, admission.capacity);
    const outcome = await sender.send(task, body, currentBackEnd() as BackEnd);
    run.noteOutcome(outcome);
    return { outcome, run };
  };

  return {
    run: async (task, request, times) => {
      const admittedAt = clock.now();
      times.admittedAt = admittedAt;
      const { outcome, run } = await send(task, request, times, admittedAt);
      // The slot is taken until the back end has sent the last byte of its answer.
      whenEnded(outcome, (finalOutcome) => {
        const now = clock.now();
        const result = run?.end(finalOutcome);
        if (!run) {
          limit.refund(admittedAt, now);
        }
        admission.noteFinished(request, result?.serviceMs, now, result?.slowness);
        limitedStarts.update();
      });
      return outcome;
    },
  };
}
