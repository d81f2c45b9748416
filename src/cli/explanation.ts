/** How a request would be decided: its route, its services, and the owners that may serve it. */
import type { OwnerRecord } from '../directory/owner-entry.js';
import { createPlacementFilter } from '../ingress/placementFilter.js';
import { compilePolicy } from '../policy/placement-policy.js';
import { resolveDependencies } from '../routing/configurationDependencies.js';
import type { MeshConfiguration } from '../routing/mesh-configuration.js';
import { RouteMatcher } from '../routing/route-matcher.js';
import { type ExplainedAccess, explainAccess } from './explainedAccess.js';

/** A request, as an operator describes it. */
export interface RequestDescription {
  readonly host: string;
  readonly method: string;
  readonly path: string;
  /** Names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** Zone in which it begins. */
  readonly zone: string;
  /** Name of the tenant whose key it carries. */
  readonly tenant?: string | undefined;
}

/** One owner of a service that the route leads to. */
export interface ExplainedOwner {
  readonly node: string;
  readonly zone: string;
  readonly service: string;
  readonly mayServe: boolean;
}

export interface Explanation {
  readonly version: number;
  /** Undefined when there is none. */
  readonly route: string | undefined;
  readonly policies: readonly string[];
  /** True when the path has no single reading, so that the route's policies refuse it. */
  readonly isAmbiguous: boolean;
  readonly owners: readonly ExplainedOwner[];
  /** Undefined without a route, and where there are no tenants. */
  readonly access?: ExplainedAccess | undefined;
}

export function explain(
  configuration: MeshConfiguration,
  records: readonly OwnerRecord[],
  asked: RequestDescription,
): Explanation {
  const { version } = configuration;
  // Secrets play no part in the decision.
  const completion = resolveDependencies(
    { ...configuration, secrets: [] },
    { compilePolicy, secrets: new Map() },
  );
  const complements = completion.kind === 'complete' ? completion.complements : undefined;
  const matcher = new RouteMatcher(configuration, undefined, complements);
  const matched = matcher.match(asked.host, asked.path);
  if (!matched) {
    return { version, route: undefined, policies: [], isAmbiguous: false, owners: [] };
  }
  const { name, policies, split } = matched.route;
  const own = { node: '', address: '', zone: asked.zone, service: '' };
  const request = { method: asked.method, url: asked.path, headers: asked.headers };
  const access = explainAccess(configuration.tenants, matched.route, asked.tenant);
  // The command does not know the nodes' header names: a key or tenant field given with --header is seen
  // by policies here, which nodes hide from them.
  const caller = { tenant: access?.tenant, hiddenFields: new Set<string>() };
  const placements = split.map(({ service }) => ({
    service,
    check: createPlacementFilter(request, matched, service, own, caller),
  }));
  const owners = placements.flatMap(({ service, check }) =>
    records
      .filter((record) => record.service === service)
      .map((record) => ({
        node: record.node,
        zone: record.zone,
        service,
        mayServe: check.caseOf({
          Left: () => false,
          Right: (mayServe) => mayServe?.(record) ?? true,
        }),
      })),
  );
  const isAmbiguous = placements.some(({ check }) => check.isLeft());
  return { version, route: name, policies, isAmbiguous, owners, access };
}
