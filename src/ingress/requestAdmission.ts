/**
 * Decides whether a request may be offered to owners: by its route, its key, the client's limits,
 * the tenant's quota and the placement policies. Reads the request's body.
 */
import type http from 'node:http';
import { afterPendingReads } from '../model/readBarrier.js';
import type { MessageBody } from '../owner/message-body.js';
import type { MeshRoute } from '../routing/mesh-configuration.js';
import type { MatchedRoute, RouteMatcher } from '../routing/route-matcher.js';
import type { ClientRefusal } from './client-answer.js';
import type { ClientAccess } from './clientAccess.js';
import type { IngressOptions } from './ingressOptions.js';
import { BEHIND, STOPPING } from './nodeRefusals.js';
import { createPlacementFilter, type OwnerFilter } from './placementFilter.js';
import { hasBody, headBytes, readBody } from './requestMessage.js';
import type { RequestTenant } from './requestTenant.js';

/** A request that may be offered to owners. */
export interface ReadRequest {
  readonly matched: MatchedRoute;
  readonly body: MessageBody;
  readonly mayServe: OwnerFilter | undefined;
}

/** A request that may not be offered to any owner. */
export interface RefusedRequest {
  readonly refusal: ClientRefusal;
  /** True if the connection cannot be used after the refusal. */
  readonly mustClose?: boolean;
}

/** The request and the dependencies on the node. */
export interface RequestAdmissionContext {
  readonly options: IngressOptions;
  readonly access: ClientAccess;
  readonly request: http.IncomingMessage;
  readonly tenant: RequestTenant;
  /**
   * Steady time in milliseconds by which a planned stop would cut the request off; infinite if the
   * request is not affected by one.
   */
  readonly latestEnd: number;
  /** Starts the timer of the request; returns the steady time in milliseconds at which it ends. */
  readonly startTimer: (route: MeshRoute) => number;
  /** True once an answer has been decided on, or the client has left. */
  readonly isOver: () => boolean;
}

/** The admission of one request. */
export interface RequestAdmission {
  /** Version of the configuration that decides; 0 without one. */
  readonly version: number;
  /** Undefined until it is known. */
  readonly route: MeshRoute | undefined;
  /** The part of the route's split that serves the request; empty until it is known. */
  readonly service: string;
  /** Undefined if the request is over. */
  admit(): Promise<ReadRequest | RefusedRequest | undefined>;
}

const REFUSED_HEAD: RefusedRequest = {
  refusal: { code: 'head-too-large', status: 431 },
  mustClose: true,
};
const REFUSED_BODY: RefusedRequest = {
  refusal: { code: 'too-large', status: 413 },
  mustClose: true,
};

export function createRequestAdmission(context: RequestAdmissionContext): RequestAdmission {
  const { options, access, request, tenant, latestEnd, startTimer, isOver } = context;
  let version = 0;
  let route: MeshRoute | undefined;
  let service = '';

  /** If there may be a newer configuration, it may have the route; 404 would then be wrong. */
  const noRoute = (): ClientRefusal =>
    options.mayBeBehind() ? BEHIND : { code: 'no-route', status: 404 };

  /** Owner filter of the route's policies. Undefined if none; Left if the path is ambiguous. */
  const placementFor = (matched: MatchedRoute): ReturnType<typeof createPlacementFilter> => {
    const hiddenFields = access.tenantFields(tenant.hasTenants);
    const caller = { tenant: tenant.tenant?.name, hiddenFields };
    return createPlacementFilter(request, matched, service, options.ownRecord(), caller);
  };

  /** Checks the key again, as a new configuration may have revoked it while the body arrived. */
  const recheckAccess = (
    earlier: RouteMatcher,
    matched: MatchedRoute,
  ): ClientRefusal | undefined =>
    hasBody(request) ? tenant.check(options.routes() ?? earlier, matched.route) : undefined;

  /** Checks what the head of the request shows. */
  const checkHead = (
    routes: RouteMatcher,
    matched: MatchedRoute,
  ): RefusedRequest | MatchedRoute => {
    route = matched.route;
    const denied = tenant.check(routes, matched.route);
    if (denied) {
      return { refusal: denied };
    }
    if (headBytes(request) > routes.configuration.limits.maxHeaderBytes) {
      return REFUSED_HEAD;
    }
    service = matched.split.next();
    return startTimer(matched.route) > latestEnd ? { refusal: STOPPING } : matched;
  };

  /** Reads the body of a request whose head is in order. */
  const admitBody = async (
    routes: RouteMatcher,
    matched: MatchedRoute,
  ): Promise<ReadRequest | RefusedRequest | undefined> => {
    const placement = placementFor(matched);
    if (placement.isLeft()) {
      return { refusal: { code: 'ambiguous-path', status: 400 } };
    }
    const { tenant: owner } = tenant;
    const overQuota = owner && (await tenant.takeToken());
    if (overQuota || isOver()) {
      return overQuota && { refusal: overQuota };
    }
    const body = await readBody(request, routes.configuration.limits);
    // A client that has left may have done so together with the last of its request.
    await afterPendingReads();
    if (body === 'too-large') {
      return REFUSED_BODY;
    }
    if (!body || isOver()) {
      // The connection can serve another request when it has been read.
      request.resume();
      return undefined;
    }
    const denied = recheckAccess(routes, matched);
    if (denied) {
      return { refusal: denied };
    }
    // While the body arrived, the key may have been moved to another tenant.
    const isSameTenant = tenant.tenant?.name === owner?.name;
    const placementNow = isSameTenant ? placement : placementFor(matched);
    // Never a refusal here, as the same path was accepted above.
    return { matched, body, mayServe: placementNow.orDefault(undefined) };
  };

  return {
    get version() {
      return version;
    },
    get route() {
      return route;
    },
    get service() {
      return service;
    },
    admit: async () => {
      const routes = options.routes();
      if (!routes) {
        return { refusal: { ...BEHIND, code: 'no-configuration' } };
      }
      version = routes.version;
      const matched = routes.match(request.headers.host ?? '', request.url ?? '/');
      if (!matched) {
        return { refusal: noRoute() };
      }
      const checked = checkHead(routes, matched);
      return 'refusal' in checked ? checked : admitBody(routes, checked);
    },
  };
}
