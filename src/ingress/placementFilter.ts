/** Filters owners by the placement policies of a request's route. */
import { type Either, Right } from 'purify-ts';
import type { OwnerRecord } from '../directory/owner-entry.js';
import type { PolicyLocality } from '../policy/placement-policy.js';
import { normalizeRequest, type RequestHead } from '../policy/request-normalizer.js';
import type { MatchedRoute } from '../routing/route-matcher.js';

/** True if the owner may serve the request. */
export type OwnerFilter = (record: OwnerRecord) => boolean;

/** The sender of a request, as policies see it. */
export interface PolicyCaller {
  /** Name of the request's tenant. */
  readonly tenant: string | undefined;
  /**
   * Names of header fields, in lower case, that policies do not see: API keys, and the tenant
   * field, which a client may have set itself.
   */
  readonly hiddenFields: ReadonlySet<string>;
}

const NO_CALLER: PolicyCaller = { tenant: undefined, hiddenFields: new Set() };

/**
 * Creates the filter for one request. Undefined if the route has no policies, so that such routes
 * cost nothing. Left if the path can be read in more than one way, as the back end may read it
 * differently from the policies.
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
      request: { ...normalized, headers: withoutFields(normalized.headers, hiddenFields), tenant },
      route: { name: route.name, service, kind: route.kind },
      node: localityOf(own),
    };
    // The policies are evaluated once for each locality.
    const results = new Map<string, boolean>();
    return (record) => {
      const endpoint = localityOf(record);
      const key = JSON.stringify(endpoint);
      const allowed =
        results.get(key) ?? policies.every((policy) => policy.allows({ ...context, endpoint }));
      results.set(key, allowed);
      return allowed;
    };
  });
}

function withoutFields(
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
