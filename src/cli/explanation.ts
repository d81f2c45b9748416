/** Explains how the nodes would handle a request: its route, and the owners that may serve it. */
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
  /** Header names are in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** Zone of the client. */
  readonly zone: string;
  /** Name of the tenant whose key the request has. */
  readonly tenant?: string | undefined;
}

/** One owner of a service of the route. */
export interface ExplainedOwner {
  readonly node: string;
  readonly zone: string;
  readonly service: string;
  readonly mayServe: boolean;
}

export interface Explanation {
  readonly version: number;
  /** Undefined if no route matches. */
  readonly route: string | undefined;
  readonly policies: readonly string[];
  /** True if the path can be read in more than one way, so that the route's policies refuse it. */
  readonly isAmbiguous: boolean;
  readonly owners: readonly ExplainedOwner[];
  /** Undefined if no route matches or the configuration has no tenants. */
  readonly access?: ExplainedAccess | undefined;
}

export function explain(
  configuration: MeshConfiguration,
  records: readonly OwnerRecord[],
  description: RequestDescription,
): Explanation {
  const { version } = configuration;
  // The decision does not depend on secrets.
  const completion = resolveDependencies(
    { ...configuration, secrets: [] },
    { compilePolicy, secrets: new Map() },
  );
  const complements = completion.kind === 'complete' ? completion.complements : undefined;
  const matcher = new RouteMatcher(configuration, undefined, complements);
  const matched = matcher.match(description.host, description.path);
  if (!matched) {
    return { version, route: undefined, policies: [], isAmbiguous: false, owners: [] };
  }
  const { name, policies, split } = matched.route;
  const own = { node: '', address: '', zone: description.zone, service: '' };
  const request = {
    method: description.method,
    url: description.path,
    headers: description.headers,
  };
  const access = explainAccess(configuration.tenants, matched.route, description.tenant);
  // Nodes hide the key and tenant fields from policies. The command does not know the nodes' header
  // names, so its policies see such fields if they are given with --header.
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
