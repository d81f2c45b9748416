/** Explains whether a route accepts a tenant's key, with the decision function of the nodes. */
import type { MeshRoute } from '../routing/mesh-configuration.js';
import { AccessKind, decideAccess } from '../tenants/access.js';
import { createKeyring } from '../tenants/keyring.js';
import { priorityOf } from '../tenants/priority.js';
import { isLimited } from '../tenants/quotaParts.js';
import type { MeshTenant } from '../tenants/tenant.js';

export interface ExplainedAccess {
  readonly isGranted: boolean;
  /** Tenant that the request counts for. Undefined on public routes. */
  readonly tenant: string | undefined;
  /** Result of {@link priorityOf}. */
  readonly priority: number;
  /** Limit over all nodes, in requests a second and burst. Undefined if there is no limit. */
  readonly limit: { readonly ratePerS: number; readonly burst: number } | undefined;
  /** The decision in a sentence, for people. */
  readonly message: string;
}

/**
 * Explains the access of the tenant `name`, or of a client without a key if `name` is undefined.
 * Undefined if the configuration has no tenants.
 */
export function explainAccess(
  tenants: readonly MeshTenant[],
  route: MeshRoute,
  name: string | undefined,
): ExplainedAccess | undefined {
  if (tenants.length === 0) {
    return undefined;
  }
  const namedTenant = tenants.find((tenant) => tenant.name === name);
  const access = decideAccess({
    keyring: createKeyring(tenants),
    isPublic: route.isPublic,
    keys: namedTenant?.apiKeys.slice(0, 1) ?? [],
    mayBeStale: false,
    isTooStale: false,
  });
  if (access.kind !== AccessKind.Granted) {
    const cause = namedTenant ? `tenant ${namedTenant.name} has no key` : 'the request has no key';
    return {
      isGranted: false,
      tenant: undefined,
      priority: priorityOf(undefined, route),
      limit: undefined,
      message: `Refused with 401: ${cause}.`,
    };
  }
  const { tenant } = access;
  const limit =
    tenant && isLimited(tenant) ? { ratePerS: tenant.ratePerS, burst: tenant.burst } : undefined;
  return {
    isGranted: true,
    tenant: tenant?.name,
    priority: priorityOf(tenant, route),
    limit,
    message: describe(tenant, route, limit),
  };
}

function describe(
  tenant: MeshTenant | undefined,
  route: MeshRoute,
  limit: ExplainedAccess['limit'],
): string {
  if (!tenant) {
    return `Public route: no key is needed, no tenant's limit applies; priority ${route.priority}.`;
  }
  const priority =
    tenant.priority === undefined
      ? `priority ${route.priority} of the route`
      : `priority ${tenant.priority} of the tenant, then ${route.priority} of the route`;
  const limitText = limit ? `${limit.ratePerS}/s with a burst of ${limit.burst}` : 'no limit';
  return `Served as tenant ${tenant.name}: ${priority}; ${limitText} over all nodes.`;
}
