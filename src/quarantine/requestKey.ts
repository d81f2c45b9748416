/** Requests as the memory of crashes tells them apart. */
import { NO_FINGERPRINT } from './fingerprint.js';

/** A request, and who it came from. */
export interface RequestKey {
  /** See `fingerprintOf`. */
  readonly fingerprint: string;
  /** Service that runs on the machine where it began, and the tenant that sent it, if any. */
  readonly caller: string;
}

/** One text for each key. */
export function keyText({ fingerprint, caller }: RequestKey): string {
  return `${fingerprint} ${caller}`;
}

/** Each key once, without those of requests that have no fingerprint. */
export function distinctKeys(keys: readonly RequestKey[]): RequestKey[] {
  const known = keys
    .filter(({ fingerprint }) => fingerprint !== NO_FINGERPRINT)
    .map(({ fingerprint, caller }) => ({ fingerprint, caller }));
  return [...new Map(known.map((key) => [keyText(key), key])).values()];
}
