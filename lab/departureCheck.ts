/**
 * Checks what back ends received and worked on for clients that had left: the requests of these
 * clients, and the calls that back ends made for them.
 */
import { rootIdOf } from './backEndCalls.js';

/** Milliseconds after a client has left from which no work may begin or go on for it. */
export const GONE_MS = 500;

/** A client that left before its request was answered. */
export interface Departure {
  readonly requestId: string;
  /** Steady time in milliseconds at which the client closed its connection. */
  readonly leftAt: number;
}

/** Something that happened to a request at a back end. */
export interface RequestEvent {
  readonly requestId: string;
  readonly at: number;
}

/** A request that arrived at a back end for a client that had left. */
export interface LateArrival extends RequestEvent {
  readonly lateMs: number;
}

/** The requests and calls that arrived at a back end later than {@link GONE_MS} after their client had left. */
export function lateArrivals(
  departures: readonly Departure[],
  arrivals: readonly RequestEvent[],
): LateArrival[] {
  const leftAtOf = new Map(departures.map(({ requestId, leftAt }) => [requestId, leftAt]));
  return arrivals.flatMap(({ requestId, at }) => {
    const lateMs = at - (leftAtOf.get(rootIdOf(requestId)) ?? at);
    return lateMs > GONE_MS ? [{ requestId, at, lateMs }] : [];
  });
}

/** A run at a back end; `cutAt` is set if its connection closed before the answer was sent. */
export interface ObservedWork extends RequestEvent {
  readonly cutAt: number | undefined;
  /** Undefined while the back end has not answered it. */
  readonly answeredAt: number | undefined;
}

/** The runs on which a back end worked for longer than {@link GONE_MS} after their client had left. */
export function continuedRuns(
  departures: readonly Departure[],
  runs: readonly ObservedWork[],
): ObservedWork[] {
  const leftAtOf = new Map(departures.map(({ requestId, leftAt }) => [requestId, leftAt]));
  return runs.filter((run) => {
    const leftAt = leftAtOf.get(rootIdOf(run.requestId));
    const endedAt = run.cutAt ?? run.answeredAt ?? Number.POSITIVE_INFINITY;
    return leftAt !== undefined && run.at <= leftAt + GONE_MS && endedAt > leftAt + GONE_MS;
  });
}
