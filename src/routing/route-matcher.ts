/** Finds the route of a request: the longest prefix of its path among the routes of its host. */
import type { CompiledPolicy } from '../policy/placement-policy.js';
import { createKeyring, type Keyring } from '../tenants/keyring.js';
import { createTenantShares } from '../tenants/tenantShares.js';
import { NO_DEPENDENCIES, type ResolvedDependencies } from './configurationDependencies.js';
import type { MeshConfiguration, MeshRoute, MeshService } from './mesh-configuration.js';
import { TrafficSplit } from './traffic-split.js';

/** A route made ready for requests. */
export interface MatchedRoute {
  readonly route: MeshRoute;
  readonly split: TrafficSplit;
  /** All of them must allow an owner. */
  readonly policies: readonly CompiledPolicy[];
  /** Set on what the back end gets. */
  readonly credential: { readonly header: string; readonly value: string } | undefined;
}

/** Immutable but for the state of the splits; a node holds one at a time. */
export class RouteMatcher {
  private readonly hosts = new Map<string, Map<string, MatchedRoute>>();
  private readonly services = new Map<string, MeshService>();
  /** Who holds which key in this version. */
  readonly keyring: Keyring;
  /** A tenant's fair share of a full back end, from 0 to 1: its rate limit over the sum of all tenants' limits. */
  readonly tenantShare: (tenant: string) => number;

  /** A route that is the same object in `previous` keeps the state of its split. */
  constructor(
    readonly configuration: MeshConfiguration,
    previous?: RouteMatcher,
    complements: ResolvedDependencies = NO_DEPENDENCIES,
  ) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, MatchedRoute>();
      const known = previous?.hosts.get(host)?.get(route.pathPrefix);
      const isKnown = known?.route === route;
      const split = isKnown ? known.split : new TrafficSplit(route.split);
      const isPlain = route.policies.length === 0 && !route.credential;
      const ready = isKnown && isPlain ? known : readyRoute(route, split, complements);
      prefixes.set(route.pathPrefix, ready);
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

  /** `host` may carry a port; `target` is the request's target as it was sent. */
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

function readyRoute(
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
