/** How long a client's request may take. */
import type http from 'node:http';
import type { MeshRoute } from '../routing/mesh-configuration.js';

/** A request without a deadline or a time-out is given up after this time, in milliseconds. */
const LONGEST_REQUEST_MS = 300_000;

export interface TimeLimit {
  /** Milliseconds from the request's head until its final answer. */
  readonly allowedMs: number;
  /** What the limit is: the route's time-out or the client's deadline. */
  readonly code: 'timeout' | 'deadline';
}

/** The sooner of the client's deadline, in a field of this name in lower case, and the route's time-out. */
export function timeLimitOf(
  { headers }: http.IncomingMessage,
  deadlineField: string,
  route: MeshRoute,
): TimeLimit {
  const asked = Number(headers[deadlineField]);
  const deadlineMs = Number.isFinite(asked) && asked > 0 ? asked : LONGEST_REQUEST_MS;
  const timeoutMs = route.timeoutMs ?? LONGEST_REQUEST_MS;
  return {
    allowedMs: Math.min(deadlineMs, timeoutMs),
    code: timeoutMs <= deadlineMs ? 'timeout' : 'deadline',
  };
}
