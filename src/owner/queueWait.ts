/**
 * Predicts how long a task waits at a full back end: the work of the tasks ahead of it, divided by
 * the share of the back end's time that is not used by more urgent tasks that keep arriving.
 */

import { CALL_SLOT_SHARE, rankOf, type SchedulingRequest } from './callScheduler.js';
import type { PriorityLoad } from './priorityLoad.js';
import type { ServiceTimes } from './serviceTimes.js';

/** The properties of a task that its wait depends on. */
export interface QueuedRequest extends SchedulingRequest {
  readonly route: string;
}

export interface QueueWaitContext {
  /** Tasks that may run at once. */
  readonly slots: number;
  readonly times: Pick<ServiceTimes, 'expectedMs' | 'overallMs'>;
  readonly priorityLoad: Pick<PriorityLoad, 'shareBelowRank'>;
}

/** Expected milliseconds until a task starts that waits behind the tasks `ahead`. */
export function queueWaitMs(
  request: QueuedRequest,
  ahead: readonly QueuedRequest[],
  context: QueueWaitContext,
): number {
  const waitMs = drainMs(ahead, context) / availableShare(request, context);
  if (request.isCall) {
    return waitMs;
  }
  // Calls of the same priority, however many, leave clients a share of the slots. This bounds the
  // wait.
  const clients = ahead.filter(({ isCall, priority }) => !isCall || priority < request.priority);
  const clientShare = availableShare({ ...request, isCall: true }, context) * (1 - CALL_SLOT_SHARE);
  return Math.min(waitMs, drainMs(clients, context) / clientShare);
}

/** Expected milliseconds until a slot is free after the waiting tasks, if no others arrive. */
export function drainMs(
  waiting: readonly QueuedRequest[],
  { slots, times }: Pick<QueueWaitContext, 'slots' | 'times'>,
): number {
  const workMs = waiting.reduce((sum, { route }) => sum + times.expectedMs(route), times.overallMs);
  return slots === 0 ? times.overallMs : workMs / slots;
}

/** Share of the back end's time that tasks of smaller rank leave; above 0. */
function availableShare(
  request: SchedulingRequest,
  { priorityLoad }: Pick<QueueWaitContext, 'priorityLoad'>,
): number {
  return 1 - priorityLoad.shareBelowRank(rankOf(request));
}
