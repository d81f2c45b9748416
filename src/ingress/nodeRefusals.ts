/** Refusals for which no owner's rejection is the reason. */
import type { ClientRefusal } from './client-answer.js';

/** Milliseconds after which clients may retry if the configuration is missing or may be stale. */
const CONFIGURATION_RETRY_AFTER_MS = 250;

/** The configuration is older than one that the route or the key may be in. */
export const BEHIND: ClientRefusal = {
  code: 'configuration-behind',
  status: 503,
  retryAfterMs: CONFIGURATION_RETRY_AFTER_MS,
};

/** Milliseconds after which clients may retry during a stop. Short, as other nodes can serve. */
const STOPPING_RETRY_AFTER_MS = 20;

/** The request could be cut off by the planned stop that is under way. */
export const STOPPING: ClientRefusal = {
  code: 'stopping',
  status: 503,
  retryAfterMs: STOPPING_RETRY_AFTER_MS,
};

/** An answer broke off before it was its turn on the connection, so nothing of it was written. */
export const LOST: ClientRefusal = { code: 'lost', status: 502 };

/** The same, as the request's time was up. */
export const TOO_LATE: ClientRefusal = { code: 'deadline', status: 504 };
