/**
 * Whose turn it is at a full back end among calls and clients. A call is made by a request that holds a
 * slot elsewhere and has run for nothing if the call fails. So calls go before clients that are equally
 * urgent. They wait no longer than their target, as clients do: a late call makes its parent late.
 */

import { PRIORITY_COUNT } from '../tenants/priority.js';

/**
 * Part of the slots that calls may hold before waiting clients that are equally urgent: a quarter stays
 * for the service's own clients, so that a burst at its callers does not stop them.
 */
export const CALL_SLOT_SHARE = 0.75;

/**
 * Where long work of a lower priority holds the other slots, calls may take every slot that comes free,
 * and a client that let them all pass would be refused in the end. So one that has waited this part of
 * what it can goes after so many calls: three to one, as with the slots.
 */
const YIELDING_SHARE = 0.5;
const CALLS_IN_A_ROW = 3;

/** Turns within one priority: calls, then clients. */
const TURNS = 2;

/** What a turn is told by. */
export interface SchedulingRequest {
  /** See `priorityOf`: 0 is the most urgent; a multiple of 1 / PRIORITY_COUNT. */
  readonly priority: number;
  /** True if a running back end waits for the answer. */
  readonly isCall?: boolean;
  /** Steady time in milliseconds until which an answer is worth most. */
  readonly targetAt: number;
  /** Steady time in milliseconds after which nobody waits for an answer. */
  readonly deadlineAt: number;
}

/** A task that waits for its turn. */
export interface WaitingTask {
  readonly request: SchedulingRequest & { readonly route: string };
  /** Steady time in milliseconds. */
  readonly since: number;
}

/** What turns go by besides the queue. */
export interface SchedulingContext {
  /** Tasks that may run at once. */
  readonly slots: number;
  /** Steady time in milliseconds. */
  readonly now: number;
  /** Steady time in milliseconds by which a task must have begun to be in time. */
  readonly latestStartAt: (request: WaitingTask['request']) => number;
}

/** Kept by the admission control of one back end. */
export interface CallScheduler {
  noteStarted(request: Pick<SchedulingRequest, 'isCall'>): void;
  noteEnded(request: Pick<SchedulingRequest, 'isCall'>): void;
  /** The next of a queue that is kept in order of rank. */
  next<Queued extends WaitingTask>(
    waiting: readonly Queued[],
    context: SchedulingContext,
  ): Queued | undefined;
}

/**
 * Place in the queue; smaller goes first. Priorities are 1 / PRIORITY_COUNT apart: scaled to whole steps,
 * they leave room for a call and a client in each.
 */
export function rankOf({
  priority,
  isCall,
}: Pick<SchedulingRequest, 'priority' | 'isCall'>): number {
  return priority * PRIORITY_COUNT * TURNS + (isCall ? 0 : 1);
}

export function createCallScheduler(): CallScheduler {
  let running = 0;
  let inARow = 0;
  return {
    noteStarted: ({ isCall }) => {
      running += isCall ? 1 : 0;
      inARow = isCall ? inARow + 1 : 0;
    },
    noteEnded: ({ isCall }) => {
      running -= isCall ? 1 : 0;
    },
    next: (waiting, { slots, now, latestStartAt }) => {
      const [first] = waiting;
      const client = first?.request.isCall ? firstClientLike(first, waiting) : undefined;
      if (!client) {
        return first;
      }
      const canWaitMs = latestStartAt(client.request) - client.since;
      const hasWaitedLong = now - client.since > canWaitMs * YIELDING_SHARE;
      const isItsTurn = hasWaitedLong && inARow >= CALLS_IN_A_ROW;
      return isItsTurn || running >= slots * CALL_SLOT_SHARE ? client : first;
    },
  };
}

/** The first client that is as urgent as a call, if none more urgent is ahead of it. */
function firstClientLike<Queued extends WaitingTask>(
  call: Queued,
  waiting: readonly Queued[],
): Queued | undefined {
  const client = waiting.find(({ request }) => !request.isCall);
  return client?.request.priority === call.request.priority ? client : undefined;
}
