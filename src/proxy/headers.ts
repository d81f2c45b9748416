/** Header names of the data path and what may pass through a proxy (RFC 9110, section 7.6.1). */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

/** Outcome of the request, told to the caller: see {@link Outcome}. */
export const OUTCOME_HEADER = 'spindlepaddle-outcome';

/** Machine-readable reason of a refusal. */
export const REASON_HEADER = 'spindlepaddle-reason';

/** Version of the configuration that decided the request. */
export const VERSION_HEADER = 'spindlepaddle-version';

/** Remaining time in milliseconds, from callers and to back ends. */
export const DEADLINE_HEADER = 'spindlepaddle-deadline-ms';

/** Identity of one attempt; a back end may echo it, and an echo of another one is refused. */
export const ATTEMPT_HEADER = 'spindlepaddle-attempt';

/** Set to `true` by a back end whose refusal guarantees that the request was not run. */
export const NOT_RUN_HEADER = 'spindlepaddle-not-run';

/** Set to `true` by a back end that is leaving and wants no new work. */
export const DRAINING_HEADER = 'spindlepaddle-draining';

/** Load report of a back end, in the text format of Open Request Cost Aggregation (ORCA). */
export const LOAD_HEADER = 'endpoint-load-metrics';

export const REQUEST_ID_HEADER = 'x-request-id';

/** What became of a request: answered whole, certainly not run, or not known. */
export type Outcome = 'answered' | 'not-run' | 'unknown';

/** Fields that concern one connection only (RFC 9110, section 7.6.1). */
export const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'proxy-authenticate',
  'proxy-authorization',
  'expect',
]);

const PRIVATE_PREFIX = 'spindlepaddle-';

/** Copies headers that travel end to end; those of the mesh itself are left out. */
export function endToEndHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  const named = new Set(listOf(headers.connection));
  const copy: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!HOP_BY_HOP.has(name) && !named.has(name) && !name.startsWith(PRIVATE_PREFIX)) {
      copy[name] = value;
    }
  }
  return copy;
}

/** The names that a `connection` field lists, in lower case. */
export function listOf(value: string | undefined): string[] {
  return (value ?? '').split(',').map((item) => item.trim().toLowerCase());
}
