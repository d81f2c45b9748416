/**
 * Chooses the next waiting task of a full back end: a call or a client's request. A call is made by
 * a request that holds a slot elsewhere, and that work is wasted if the call fails. So calls go
 * before clients of the same priority. Like clients, they wait no longer than their target allows:
 * a late call makes its parent request late.
 */

import { PRIORITY_COUNT } from '../tenants/priority.js';

/**
 * Share of the slots that calls may hold while clients of the same priority wait. A quarter remains
 * for the service's own clients, so that a burst of calls does not block them.
 */
export const CALL_SLOT_SHARE = 0.75;

/**
 * Share of the time that a client can wait, after which it goes next once MAX_CONSECUTIVE_CALLS
 * calls have started in a row. If long tasks of a lower priority hold the other slots, calls may
 * otherwise take every slot that becomes free, and a waiting client would be rejected in the end.
 */
const MAX_YIELD_SHARE = 0.5;

/** Calls in a row after which such a client goes next: three to one, as with the slots. */
const MAX_CONSECUTIVE_CALLS = 3;

/** Ranks within one priority: calls, then clients. */
const RANKS_PER_PRIORITY = 2;

/** The properties of a task that scheduling depends on. */
export interface SchedulingRequest {
  /** See `priorityOf`: 0 is the most urgent; a multiple of 1 / PRIORITY_COUNT. */
  readonly priority: number;
  /** True if a running back end waits for the answer. */
  readonly isCall?: boolean;
  /** Steady time in milliseconds until which an answer is in time. */
  readonly targetAt: number;
  /** Steady time in milliseconds after which nobody waits for an answer. */
  readonly deadlineAt: number;
}

/** A task that waits for a slot. */
export interface WaitingTask {
  readonly request: SchedulingRequest & { readonly route: string };
  /** Steady time in milliseconds at which the task began to wait. */
  readonly since: number;
}

/** The state of the back end that scheduling depends on. */
export interface SchedulingContext {
  /** Tasks that may run at once. */
  readonly slots: number;
  /** Current steady time in milliseconds. */
  readonly now: number;
  /** Steady time in milliseconds by which a task must start to meet its target. */
  readonly latestStartAt: (request: WaitingTask['request']) => number;
}

/** The admission control of a back end has one. */
export interface CallScheduler {
  noteStarted(request: Pick<SchedulingRequest, 'isCall'>): void;
  noteEnded(request: Pick<SchedulingRequest, 'isCall'>): void;
  /** Returns the next task of a queue that is in order of rank. */
  next<Queued extends WaitingTask>(
    waiting: readonly Queued[],
    context: SchedulingContext,
  ): Queued | undefined;
}

/**
 * Rank of a task in the queue; a smaller rank goes first. Priorities are multiples of 1 /
 * PRIORITY_COUNT, so each scaled priority is a whole number, with one rank for calls and one for
 * clients.
 */
export function rankOf({
  priority,
  isCall,
}: Pick<SchedulingRequest, 'priority' | 'isCall'>): number {
  return priority * PRIORITY_COUNT * RANKS_PER_PRIORITY + (isCall ? 0 : 1);
}

export function createCallScheduler(): CallScheduler {
  let runningCalls = 0;
  let consecutiveCalls = 0;
  return {
    noteStarted: ({ isCall }) => {
      runningCalls += isCall ? 1 : 0;
      consecutiveCalls = isCall ? consecutiveCalls + 1 : 0;
    },
    noteEnded: ({ isCall }) => {
      runningCalls -= isCall ? 1 : 0;
    },
    next: (waiting, { slots, now, latestStartAt }) => {
      const [first] = waiting;
      const client = first?.request.isCall ? firstClientOfPriority(first, waiting) : undefined;
      if (!client) {
        return first;
      }
      const canWaitMs = latestStartAt(client.request) - client.since;
      const hasWaitedLong = now - client.since > canWaitMs * MAX_YIELD_SHARE;
      const isClientNext = hasWaitedLong && consecutiveCalls >= MAX_CONSECUTIVE_CALLS;
      return isClientNext || runningCalls >= slots * CALL_SLOT_SHARE ? client : first;
    },
  };
}

/** The first waiting client, if it has the call's priority. */
function firstClientOfPriority<Queued extends WaitingTask>(
  call: Queued,
  waiting: readonly Queued[],
): Queued | undefined {
  const client = waiting.find(({ request }) => !request.isCall);
  return client?.request.priority === call.request.priority ? client : undefined;
}
