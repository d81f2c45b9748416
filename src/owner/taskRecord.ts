/** Creates the log record of a task that has ended at the owner. */
import type { OwnerOutcome, OwnerTask } from './owner.js';
import type { TaskRecord } from './owner-report.js';

/** Steady times of one task, in milliseconds. */
export interface TaskTimes {
  readonly arrivedAt: number;
  admittedAt?: number;
  sentAt?: number;
  /** When the outcome was known: for a streamed answer, its beginning. */
  outcomeAt?: number;
}

/** A task that has ended, with the data for its record. */
export interface EndedTask {
  readonly task: OwnerTask;
  readonly outcome: OwnerOutcome;
  /** Differs from the outcome if an answer has broken off. */
  readonly finalOutcome: OwnerOutcome;
  readonly times: TaskTimes;
  /** Instance id of the back end. Undefined if no back end is present. */
  readonly instance: string | undefined;
  /** True if the task's route has been detected as called by running back ends. */
  readonly isCall: boolean;
  /** Steady time in milliseconds at which the task ended. */
  readonly now: number;
}

export function taskRecordOf(ended: EndedTask): TaskRecord {
  const { task, times, instance, isCall, now } = ended;
  const { arrivedAt, admittedAt, sentAt, outcomeAt = now } = times;
  return {
    requestId: task.requestId,
    fingerprint: task.fingerprint,
    route: task.route,
    service: task.service,
    isCall,
    result: resultOf(ended),
    instance,
    queuedMs: Math.round((admittedAt ?? now) - arrivedAt),
    backEndMs: sentAt === undefined ? undefined : Math.round(outcomeAt - sentAt),
    restMs: outcomeAt === now ? undefined : Math.round(now - outcomeAt),
  };
}

function resultOf({ outcome, finalOutcome }: EndedTask): string {
  if (finalOutcome.kind === 'answer') {
    return `answer ${finalOutcome.status}`;
  }
  const result = `${finalOutcome.kind} ${finalOutcome.reason}`;
  return outcome.kind === 'answer' ? `broken-off ${finalOutcome.reason}` : result;
}
