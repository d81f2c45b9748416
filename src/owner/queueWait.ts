/**
 * How long a task is expected to wait at a full back end: the work of those ahead of it, at the share of
 * the back end's time that those leave who are more urgent and go on arriving.
 */

import { CALL_SLOT_SHARE, rankOf, type SchedulingRequest } from './callScheduler.js';
import type { PriorityLoad } from './priorityLoad.js';
import type { ServiceTimes } from './serviceTimes.js';

/** A task as far as its wait goes. */
export interface QueuedRequest extends SchedulingRequest {
  readonly route: string;
}

export interface QueueWaitContext {
  /** Tasks that may run at once. */
  readonly slots: number;
  readonly times: Pick<ServiceTimes, 'expectedMs' | 'overallMs'>;
  readonly priorityLoad: Pick<PriorityLoad, 'shareBelowRank'>;
}

/** Milliseconds until a task begins that comes behind others. */
export function queueWaitMs(
  request: QueuedRequest,
  ahead: readonly QueuedRequest[],
  context: QueueWaitContext,
): number {
  const waitMs = drainMs(ahead, context) / shareLeftTo(request, context);
  if (request.isCall) {
    return waitMs;
  }
  // Clients have their part of the slots beside calls that are as urgent, however many these are.
  const clients = ahead.filter(({ isCall, priority }) => !isCall || priority < request.priority);
  const left = shareLeftTo({ ...request, isCall: true }, context) * (1 - CALL_SLOT_SHARE);
  return Math.min(waitMs, drainMs(clients, context) / left);
}

/** Milliseconds until a slot is free behind tasks that wait, if no others come. */
export function drainMs(
  waiting: readonly QueuedRequest[],
  { slots, times }: Pick<QueueWaitContext, 'slots' | 'times'>,
): number {
  const workMs = waiting.reduce((sum, { route }) => sum + times.expectedMs(route), times.overallMs);
  return slots === 0 ? times.overallMs : workMs / slots;
}

/** Share of the back end's time that is left beside what is more urgent, above 0. */
function shareLeftTo(
  request: SchedulingRequest,
  { priorityLoad }: Pick<QueueWaitContext, 'priorityLoad'>,
): number {
  return 1 - priorityLoad.shareBelowRank(rankOf(request));
}
