/**
 * Finds the route of a request: the one with the longest matching path prefix for its host. Only
 * prefixes that end in a slash match.
 */
import type { CompiledPolicy } from '../policy/placement-policy.js';
import { createKeyring, type Keyring } from '../tenants/keyring.js';
import { createTenantShares } from '../tenants/tenantShares.js';
import { NO_DEPENDENCIES, type ResolvedDependencies } from './configurationDependencies.js';
import type { MeshConfiguration, MeshRoute, MeshService } from './mesh-configuration.js';
import { TrafficSplit } from './traffic-split.js';

/** A route with its resolved dependencies. */
export interface MatchedRoute {
  readonly route: MeshRoute;
  readonly split: TrafficSplit;
  /** An owner may serve a request only if all of these policies allow it. */
  readonly policies: readonly CompiledPolicy[];
  /** Header field that is added to requests for the back end. */
  readonly credential: { readonly header: string; readonly value: string } | undefined;
}

/**
 * Matches requests to the routes of one configuration. Immutable except for the state of the
 * traffic splits. A node uses one matcher at a time.
 */
export class RouteMatcher {
  private readonly hosts = new Map<string, Map<string, MatchedRoute>>();
  private readonly services = new Map<string, MeshService>();
  /** The API keys of this version and their tenants. */
  readonly keyring: Keyring;
  /**
   * A tenant's fair share of a full back end, from 0 to 1: its rate limit divided by the sum of all
   * tenants' limits.
   */
  readonly tenantShare: (tenant: string) => number;

  /** A route that is the same object as in `previous` keeps the state of its traffic split. */
  constructor(
    readonly configuration: MeshConfiguration,
    previous?: RouteMatcher,
    dependencies: ResolvedDependencies = NO_DEPENDENCIES,
  ) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, MatchedRoute>();
      const previousRoute = previous?.hosts.get(host)?.get(route.pathPrefix);
      const isUnchanged = previousRoute?.route === route;
      const split = isUnchanged ? previousRoute.split : new TrafficSplit(route.split);
      const hasNoDependencies = route.policies.length === 0 && !route.credential;
      const matched =
        isUnchanged && hasNoDependencies
          ? previousRoute
          : createMatchedRoute(route, split, dependencies);
      prefixes.set(route.pathPrefix, matched);
      this.hosts.set(host, prefixes);
    }
    this.keyring = createKeyring(configuration.tenants);
    this.tenantShare = createTenantShares(configuration.tenants);
    for (const service of configuration.services) {
      this.services.set(service.name, service);
    }
  }

  get version(): number {
    return this.configuration.version;
  }

  service(name: string): MeshService | undefined {
    return this.services.get(name);
  }

  /** `host` may include a port; `target` is the request's target as sent. */
  match(host: string, target: string): MatchedRoute | undefined {
    const prefixes = this.hosts.get(hostName(host));
    if (!prefixes) {
      return undefined;
    }
    const path = pathOf(target);
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const found = prefixes.get(path.slice(0, end + 1));
      if (found) {
        return found;
      }
      if (end === 0) {
        return undefined;
      }
    }
    return undefined;
  }
}

function createMatchedRoute(
  route: MeshRoute,
  split: TrafficSplit,
  { policies, secrets }: ResolvedDependencies,
): MatchedRoute {
  const { credential } = route;
  const value = credential && secrets.get(credential.secret);
  return {
    route,
    split,
    policies: route.policies.flatMap((name) => policies.get(name) ?? []),
    credential: credential && value ? { header: credential.header, value } : undefined,
  };
}

function hostName(host: string): string {
  const colon = host.lastIndexOf(':');
  const isPort = colon > host.lastIndexOf(']');
  return (colon > 0 && isPort ? host.slice(0, colon) : host).toLowerCase();
}

/** The path of an origin-form or absolute-form target (RFC 9112, section 3.2). */
function pathOf(target: string): string {
  const query = target.indexOf('?');
  const withoutQuery = query < 0 ? target : target.slice(0, query);
  const absolute = /^https?:\/\/[^/]*/i.exec(withoutQuery);
  return absolute ? withoutQuery.slice(absolute[0].length) : withoutQuery;
}
