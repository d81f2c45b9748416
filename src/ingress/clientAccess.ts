/**
 * Decides from the key in a client's request which tenant sent it, and lists the header fields that
 * are not passed on to owners or policies.
 */
import type http from 'node:http';
import type { HeaderNames } from '../owner/header-names.js';
import type { MeshRoute } from '../routing/mesh-configuration.js';
import type { RouteMatcher } from '../routing/route-matcher.js';
import { type Access, decideAccess } from '../tenants/access.js';

/** Dependencies on the node. */
export interface ClientAccessContext {
  readonly names: HeaderNames;
  /** True if there may be a newer configuration than the one in force at this node. */
  readonly mayBeBehind: () => boolean;
  /**
   * True if the configuration may be so old that keys revoked since then must no longer be
   * accepted.
   */
  readonly isTooStale: () => boolean;
}

/** The access rules of an ingress. */
export interface ClientAccess {
  /** `routes` is made from the configuration in force, `route` is the route of the request. */
  decide(request: http.IncomingMessage, routes: RouteMatcher, route: MeshRoute): Access;
  /** Names of header fields, in lower case, that clients may not set. */
  reservedFields(hasTenants: boolean): ReadonlySet<string>;
  /** The reserved fields that identify a tenant, in lower case. Empty without tenants. */
  tenantFields(hasTenants: boolean): ReadonlySet<string>;
}

const NO_FIELDS: ReadonlySet<string> = new Set();

export function createClientAccess({
  names,
  mayBeBehind,
  isTooStale,
}: ClientAccessContext): ClientAccess {
  const keyField = names.apiKey.toLowerCase();
  const reservedNames = [names.deadline, names.expectInstance, names.callerService];
  const reserved = new Set(reservedNames.map((name) => name.toLowerCase()));
  const tenantNames = new Set([...spellingsOf(names.apiKey), ...spellingsOf(names.tenant)]);
  const reservedWithTenants = new Set([...reserved, ...tenantNames]);
  return {
    decide: (request, { keyring }, { isPublic }) =>
      decideAccess({
        keyring,
        isPublic,
        keys: request.headersDistinct[keyField] ?? [],
        mayBeStale: mayBeBehind(),
        isTooStale: isTooStale(),
      }),
    tenantFields: (hasTenants) => (hasTenants ? tenantNames : NO_FIELDS),
    reservedFields: (hasTenants) => (hasTenants ? reservedWithTenants : reserved),
  };
}

/**
 * All spellings of a name in lower case in which each dash may be an underscore. Many servers pass
 * both spellings to their programs under one name (RFC 3875, section 4.1.18).
 */
function spellingsOf(name: string): string[] {
  const [first = '', ...laterParts] = name.toLowerCase().split('-');
  return laterParts.reduce<string[]>(
    (spellings, part) =>
      spellings.flatMap((spelling) => [`${spelling}-${part}`, `${spelling}_${part}`]),
    [first],
  );
}
