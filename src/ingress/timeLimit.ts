/** Determines how long a client's request may take. */
import type http from 'node:http';
import type { MeshRoute } from '../routing/mesh-configuration.js';

/** Limit in milliseconds of a request that has neither a deadline nor a timeout. */
const MAX_REQUEST_MS = 300_000;

export interface TimeLimit {
  /** Milliseconds from the arrival of the request's head until its final answer. */
  readonly allowedMs: number;
  /** Source of the limit: the route's timeout or the client's deadline. */
  readonly code: 'timeout' | 'deadline';
}

/**
 * The shorter of the client's deadline and the route's timeout. `deadlineField` is the name, in
 * lower case, of the header field that carries the deadline.
 */
export function timeLimitOf(
  { headers }: http.IncomingMessage,
  deadlineField: string,
  route: MeshRoute,
): TimeLimit {
  const requestedMs = Number(headers[deadlineField]);
  const deadlineMs = Number.isFinite(requestedMs) && requestedMs > 0 ? requestedMs : MAX_REQUEST_MS;
  const timeoutMs = route.timeoutMs ?? MAX_REQUEST_MS;
  return {
    allowedMs: Math.min(deadlineMs, timeoutMs),
    code: timeoutMs <= deadlineMs ? 'timeout' : 'deadline',
  };
}
