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
const CALLS_SHARE = 0.75;

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

/** Place in the queue; smaller goes first. */
export function rankOf({ priority, isCall }: Pick<TurnRequest, 'priority' | 'isCall'>): number {
  return priority * PRIORITIES * TURNS + (isCall ? 0 : 1);
}

/** Steady time in milliseconds up to which it is worth to hold a task in the queue. */
export function heldUntil({ isCall, targetAt, deadlineAt }: TurnRequest): number {
  return isCall ? deadlineAt : Math.min(targetAt, deadlineAt);
}

/**
 * The next of a queue that is kept in order of rank: its first, or, while calls hold their part of the
 * slots, the first client that is as urgent.
 */
export function nextInTurn<Queued extends { readonly request: TurnRequest }>(
  waiting: readonly Queued[],
  runningCalls: number,
  slots: number,
): Queued | undefined {
  const [first] = waiting;
  if (!first?.request.isCall || runningCalls < slots * CALLS_SHARE) {
    return first;
  }
  const client = waiting.find(({ request }) => !request.isCall);
  return client?.request.priority === first.request.priority ? client : first;
}
