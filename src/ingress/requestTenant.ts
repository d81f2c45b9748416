/** Determines which tenant a request is from, and takes a token from that tenant's quota. */
import type http from 'node:http';
import type { MeshRoute } from '../routing/mesh-configuration.js';
import type { RouteMatcher } from '../routing/route-matcher.js';
import { AccessKind } from '../tenants/access.js';
import type { QuotaGate, QuotaRefusalDetails } from '../tenants/quotaGate.js';
import type { MeshTenant } from '../tenants/tenant.js';
import type { ClientRefusal } from './client-answer.js';
import type { ClientAccess } from './clientAccess.js';
import { BEHIND } from './nodeRefusals.js';

/** The request and the dependencies on the node. */
export interface RequestTenantContext {
  readonly request: http.IncomingMessage;
  readonly access: ClientAccess;
  readonly quotaGate: QuotaGate | undefined;
  /** True once the request has ended. */
  readonly hasEnded: () => boolean;
}

/** The tenant of one request. */
export interface RequestTenant {
  /** Undefined until the access is checked, for calls, and on public routes. */
  readonly tenant: MeshTenant | undefined;
  /** True if any configuration by which the access was decided has tenants. */
  readonly hasTenants: boolean;
  /** State of the quota, if it was the reason of a refusal. */
  readonly quota: QuotaRefusalDetails | undefined;
  /** Determines the tenant. The refusal if the key does not grant access. */
  check(routes: RouteMatcher, route: MeshRoute): ClientRefusal | undefined;
  /** Takes a token. The refusal if there is none. */
  takeToken(): Promise<ClientRefusal | undefined>;
  /** Puts the token back, if there is one. */
  refundToken(): void;
}

export function createRequestTenant(context: RequestTenantContext): RequestTenant {
  const { request, access, quotaGate, hasEnded } = context;
  let tenant: MeshTenant | undefined;
  let hasTenants = false;
  let quota: QuotaRefusalDetails | undefined;
  let refund = (): void => {};
  const refundToken = (): void => {
    refund();
    refund = () => {};
  };
  return {
    get tenant() {
      return tenant;
    },
    get hasTenants() {
      return hasTenants;
    },
    get quota() {
      return quota;
    },
    check: (routes, route) => {
      const decision = access.decide(request, routes, route);
      hasTenants ||= routes.keyring.hasTenants;
      if (decision.kind === AccessKind.Granted) {
        tenant = decision.tenant;
        return undefined;
      }
      const isDenied = decision.kind === AccessKind.Denied;
      return isDenied ? { code: 'unknown-key', status: 401 } : BEHIND;
    },
    takeToken: async () => {
      const decision = tenant && (await quotaGate?.admit(tenant));
      if (decision && !decision.isAdmitted) {
        quota = decision.details;
        return { code: 'over-quota', status: 429, retryAfterMs: decision.retryAfterMs };
      }
      refund = decision?.refund ?? refund;
      if (hasEnded()) {
        // The client has left while the gate asked other holders for tokens.
        refundToken();
      }
      return undefined;
    },
    refundToken,
  };
}
