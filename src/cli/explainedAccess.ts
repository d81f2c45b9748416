/** What the holder of a tenant's key may do on a route, by the decision that nodes make. */
import type { MeshRoute } from '../routing/mesh-configuration.js';
import { AccessKind, decideAccess } from '../tenants/access.js';
import { createKeyring } from '../tenants/keyring.js';
import { priorityOf } from '../tenants/priority.js';
import { isLimited } from '../tenants/quotaParts.js';
import type { MeshTenant } from '../tenants/tenant.js';

export interface ExplainedAccess {
  readonly isGranted: boolean;
  /** As whom it is served; undefined on public routes. */
  readonly tenant: string | undefined;
  /** How urgent it is, see `priorityOf`. */
  readonly priority: number;
  /** Limit over all nodes in requests a second, and on top; undefined without one. */
  readonly limit: { readonly ratePerS: number; readonly burst: number } | undefined;
  /** For people. */
  readonly message: string;
}

/** Undefined where the configuration has no tenants; without a name, of a client that sends no key. */
export function explainAccess(
  tenants: readonly MeshTenant[],
  route: MeshRoute,
  name: string | undefined,
): ExplainedAccess | undefined {
  if (tenants.length === 0) {
    return undefined;
  }
  const asked = tenants.find((tenant) => tenant.name === name);
  const access = decideAccess({
    keyring: createKeyring(tenants),
    isPublic: route.isPublic,
    keys: asked?.apiKeys.slice(0, 1) ?? [],
    mayBeStale: false,
    isTooStale: false,
  });
  if (access.kind !== AccessKind.Granted) {
    const cause = asked ? `tenant ${asked.name} has no key` : 'it carries no key';
    return {
      isGranted: false,
      tenant: undefined,
      priority: priorityOf(undefined, route),
      limit: undefined,
      message: `It is refused with 401: ${cause}.`,
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
    return `The route is public: it needs no key and counts for no tenant; priority ${route.priority}.`;
  }
  const priority =
    tenant.priority === undefined
      ? `priority ${route.priority} of the route`
      : `priority ${tenant.priority} of the tenant, then ${route.priority} of the route`;
  const most = limit ? `${limit.ratePerS}/s and ${limit.burst} on top` : 'no limit';
  return `It is served as tenant ${tenant.name}: ${priority}; ${most} over all nodes.`;
}
