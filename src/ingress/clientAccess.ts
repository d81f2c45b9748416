/** Keys in clients' requests: who a request is from, and which fields of it stay here. */
import type http from 'node:http';
import type { HeaderNames } from '../owner/header-names.js';
import type { MeshRoute } from '../routing/mesh-configuration.js';
import type { RouteMatcher } from '../routing/route-matcher.js';
import { type Access, decideAccess } from '../tenants/access.js';

/** What is needed of the node. */
export interface ClientAccessContext {
  readonly names: HeaderNames;
  /** True when there may be a newer configuration than the one in force here. */
  readonly mayBeBehind: () => boolean;
  /** True when a key may have been taken away so long ago that it must not be believed any longer. */
  readonly isTooStale: () => boolean;
}

/** One per ingress. */
export interface ClientAccess {
  /** `routes` is the configuration that decides, `route` the route of the request. */
  decide(request: http.IncomingMessage, routes: RouteMatcher, route: MeshRoute): Access;
  /** Names of header fields, in lower case, that clients may not set. */
  reservedFields(hasTenants: boolean): ReadonlySet<string>;
  /** Those of them that are about tenants; none without tenants. */
  tenantFields(hasTenants: boolean): ReadonlySet<string>;
}

const NO_FIELDS: ReadonlySet<string> = new Set();

export function createClientAccess({
  names,
  mayBeBehind,
  isTooStale,
}: ClientAccessContext): ClientAccess {
  const keyField = names.apiKey.toLowerCase();
  const always = [names.deadline, names.expectInstance, names.callerService];
  const reserved = new Set(always.map((name) => name.toLowerCase()));
  const ofTenants = new Set([...spellingsOf(names.apiKey), ...spellingsOf(names.tenant)]);
  const reservedWithTenants = new Set([...reserved, ...ofTenants]);
  return {
    decide: (request, { keyring }, { isPublic }) =>
      decideAccess({
        keyring,
        isPublic,
        keys: request.headersDistinct[keyField] ?? [],
        mayBeStale: mayBeBehind(),
        isTooStale: isTooStale(),
      }),
    tenantFields: (hasTenants) => (hasTenants ? ofTenants : NO_FIELDS),
    reservedFields: (hasTenants) => (hasTenants ? reservedWithTenants : reserved),
  };
}

/**
 * A name in lower case, with each dash also as an underscore: many servers give their programs both
 * under one name (RFC 3875, section 4.1.18).
 */
function spellingsOf(name: string): string[] {
  const [first = '', ...rest] = name.toLowerCase().split('-');
  return rest.reduce<string[]>(
    (spellings, part) => spellings.flatMap((start) => [`${start}-${part}`, `${start}_${part}`]),
    [first],
  );
}
