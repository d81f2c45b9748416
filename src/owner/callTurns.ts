/**
 * Whose turn it is at a full back end among calls and clients. A call is made by a request that holds a
 * slot elsewhere and has run for nothing if the call fails. So calls go before clients that are equally
 * urgent, and stay in the queue while their parent waits.
 */

import { PRIORITIES } from '../tenants/priority.js';

/**
 * Part of the slots that calls may hold before waiting clients that are equally urgent: a quarter stays
 * for the service's own clients, so that a burst at its callers does not stop them.
 */
export const CALLS_SHARE = 0.75;

/**
 * Part of the time that a client can wait in which it lets calls go first. Where long work of a lower
 * priority holds the other slots, calls may take every slot that comes free; a client that let them
 * all pass would be refused in the end. Half leaves it as many more chances as it has given away.
 */
const YIELDING_SHARE = 0.5;

/** Turns within one priority: calls, then clients. */
const TURNS = 2;

/** What a turn is told by. */
export interface TurnRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** True if a running back end waits for the answer. */
  readonly isCall?: boolean;
  /** Steady time in milliseconds until which an answer is worth most. */
  readonly targetAt: number;
  /** Steady time in milliseconds after which nobody waits for an answer. */
  readonly deadlineAt: number;
}

/** A task that waits for its turn. */
export interface QueuedTurn {
  readonly request: TurnRequest & { readonly route: string };
  /** Steady time in milliseconds. */
  readonly since: number;
}

/** What turns go by besides the queue. */
export interface TurnContext {
  /** Calls that run. */
  readonly runningCalls: number;
  /** Tasks that may run at once. */
  readonly slots: number;
  /** Steady time in milliseconds. */
  readonly now: number;
  /** Steady time in milliseconds by which a task must have begun to be worth its slot. */
  readonly latestStartAt: (request: QueuedTurn['request']) => number;
}

/** Place in the queue; smaller goes first. */
export function rankOf({ priority, isCall }: Pick<TurnRequest, 'priority' | 'isCall'>): number {
  return priority * PRIORITIES * TURNS + (isCall ? 0 : 1);
}

/** Steady time in milliseconds up to which it is worth to hold a task in the queue. */
export function heldUntil({ isCall, targetAt, deadlineAt }: TurnRequest): number {
  return isCall ? deadlineAt : Math.min(targetAt, deadlineAt);
}

/**
 * The next of a queue that is kept in order of rank: its first, or, in place of a call, the first client
 * that is as urgent, if calls hold their part of the slots or it has waited half of what it can.
 */
export function nextInTurn<Queued extends QueuedTurn>(
  waiting: readonly Queued[],
  { runningCalls, slots, now, latestStartAt }: TurnContext,
): Queued | undefined {
  const [first] = waiting;
  if (!first?.request.isCall) {
    return first;
  }
  const client = waiting.find(({ request }) => !request.isCall);
  if (client?.request.priority !== first.request.priority) {
    return first;
  }
  const canWaitMs = latestStartAt(client.request) - client.since;
  const hasWaitedLong = now - client.since > canWaitMs * YIELDING_SHARE;
  return hasWaitedLong || runningCalls >= slots * CALLS_SHARE ? client : first;
}
