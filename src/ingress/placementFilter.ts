/** Which owners the placement policies of a route allow for one request. */
import { type Either, Right } from 'purify-ts';
import type { OwnerRecord } from '../directory/owner-entry.js';
import type { PolicyLocality } from '../policy/placement-policy.js';
import { normalizeRequest, type RequestHead } from '../policy/request-normalizer.js';
import type { MatchedRoute } from '../routing/route-matcher.js';

/** Says whether an owner may serve the request. */
export type OwnerFilter = (record: OwnerRecord) => boolean;

/** Who sends a request, as far as policies may ask. */
export interface PolicyCaller {
  /** Name of its tenant. */
  readonly tenant: string | undefined;
  /** Names of header fields, in lower case, that policies do not see: keys, and a client's word for its tenant. */
  readonly hiddenFields: ReadonlySet<string>;
}

const NO_CALLER: PolicyCaller = { tenant: undefined, hiddenFields: new Set() };

/**
 * The check for one request; undefined where the route has no policies, so that it costs nothing.
 * Left: the path can be read in more than one way, and the back end might read another one.
 */
export function createPlacementFilter(
  request: RequestHead,
  { route, policies }: MatchedRoute,
  service: string,
  own: OwnerRecord,
  { tenant = '', hiddenFields }: PolicyCaller = NO_CALLER,
): Either<string, OwnerFilter | undefined> {
  if (policies.length === 0) {
    return Right(undefined);
  }
  return normalizeRequest(request).map((normalized) => {
    const context = {
      request: { ...normalized, headers: without(normalized.headers, hiddenFields), tenant },
      route: { name: route.name, service, kind: route.kind },
      node: localityOf(own),
    };
    // Owners of one locality get one evaluation.
    const known = new Map<string, boolean>();
    return (record) => {
      const endpoint = localityOf(record);
      const key = JSON.stringify(endpoint);
      const allowed =
        known.get(key) ?? policies.every((policy) => policy.allows({ ...context, endpoint }));
      known.set(key, allowed);
      return allowed;
    };
  });
}

function without(
  headers: Readonly<Record<string, string>>,
  hidden: ReadonlySet<string>,
): Readonly<Record<string, string>> {
  return hidden.size === 0
    ? headers
    : Object.fromEntries(Object.entries(headers).filter(([name]) => !hidden.has(name)));
}

function localityOf({ zone, region = '', labels = {} }: OwnerRecord): PolicyLocality {
  return { zone, region, labels };
}
