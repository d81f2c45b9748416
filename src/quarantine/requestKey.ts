/** Identity of a request in the tracking of crashes: its fingerprint and its caller. */
import { NO_FINGERPRINT } from './fingerprint.js';

export interface RequestKey {
  /** Result of `fingerprintOf`. */
  readonly fingerprint: string;
  /** Service on the machine where the request began, and the tenant that sent it, if any. */
  readonly caller: string;
}

/** The key as a string, distinct for each key. */
export function keyText({ fingerprint, caller }: RequestKey): string {
  return `${fingerprint} ${caller}`;
}

/** The distinct keys, without those of requests that have no fingerprint. */
export function distinctKeys(keys: readonly RequestKey[]): RequestKey[] {
  const known = keys
    .filter(({ fingerprint }) => fingerprint !== NO_FINGERPRINT)
    .map(({ fingerprint, caller }) => ({ fingerprint, caller }));
  return [...new Map(known.map((key) => [keyText(key), key])).values()];
}
