/** Creates the log record of a task that has ended at the owner. */
import type { OwnerOutcome, OwnerTask } from './owner.js';
import type { TaskRecord } from './owner-report.js';

/** Steady times of one task, in milliseconds. */
export interface TaskTimes {
  readonly arrivedAt: number;
  admittedAt?: number;
  sentAt?: number;
}

/** A task that has ended, with the data for its record. */
export interface EndedTask {
  readonly task: OwnerTask;
  readonly outcome: OwnerOutcome;
  readonly times: TaskTimes;
  /** Instance id of the back end. Undefined if no back end is present. */
  readonly instance: string | undefined;
  /** True if the task's route has been detected as called by running back ends. */
  readonly isCall: boolean;
  /** Steady time in milliseconds at which the task ended. */
  readonly now: number;
}

export function taskRecordOf(ended: EndedTask): TaskRecord {
  const { task, outcome, times, instance, isCall, now } = ended;
  const { arrivedAt, admittedAt, sentAt } = times;
  const result =
    outcome.kind === 'answer' ? `answer ${outcome.status}` : `${outcome.kind} ${outcome.reason}`;
  return {
    requestId: task.requestId,
    fingerprint: task.fingerprint,
    route: task.route,
    service: task.service,
    isCall,
    result,
    instance,
    queuedMs: Math.round((admittedAt ?? now) - arrivedAt),
    backEndMs: sentAt === undefined ? undefined : Math.round(now - sentAt),
  };
}
