/**
 * What a checked configuration needs before requests can be decided by it: its placement policies
 * compiled and the values of its secrets at hand. All of it or none: a version that lacks anything
 * does not come into force.
 */
import { createHash } from 'node:crypto';
import type { Either } from 'purify-ts';
import type { Finding } from '../model/finding.js';
import type { CompiledPolicy, PolicyError } from '../policy/placement-policy.js';
import type { MeshConfiguration } from './mesh-configuration.js';

/** Compiles a placement policy. */
export type PolicyCompiler = (name: string, program: string) => Either<PolicyError, CompiledPolicy>;

/** What is at hand; both are fetched only for a configuration that needs them. */
export interface AvailableDependencies {
  readonly compilePolicy: PolicyCompiler | undefined;
  /** Values of secrets by name. */
  readonly secrets: ReadonlyMap<string, string>;
}

/** What the routes of a configuration use. */
export interface ResolvedDependencies {
  readonly policies: ReadonlyMap<string, CompiledPolicy>;
  readonly secrets: ReadonlyMap<string, string>;
}

/** What is still missing, by name. */
export interface MissingDependencies {
  readonly needsPolicies: boolean;
  readonly secrets: readonly string[];
}

export type DependencyResolution =
  | { readonly kind: 'complete'; readonly complements: ResolvedDependencies }
  | { readonly kind: 'short'; readonly shortage: MissingDependencies }
  | { readonly kind: 'faulty'; readonly findings: readonly Finding[] };

/** Of a configuration without policies and secrets. */
export const NO_DEPENDENCIES: ResolvedDependencies = { policies: new Map(), secrets: new Map() };

export function resolveDependencies(
  configuration: MeshConfiguration,
  supplies: AvailableDependencies,
): DependencyResolution {
  const needsPolicies = configuration.policies.length > 0 && !supplies.compilePolicy;
  const secrets = configuration.secrets
    .filter(({ name, digest }) => !hasDigest(supplies.secrets.get(name), digest))
    .map(({ name }) => name);
  if (needsPolicies || secrets.length > 0) {
    return { kind: 'short', shortage: { needsPolicies, secrets } };
  }
  const policies = new Map<string, CompiledPolicy>();
  const findings: Finding[] = [];
  configuration.policies.forEach(({ name, allow }, index) => {
    supplies
      .compilePolicy?.(name, allow)
      .ifRight((compiled) => policies.set(name, compiled))
      .ifLeft(({ code, message }) =>
        findings.push({ code, path: `policies.${index}.allow`, message }),
      );
  });
  return findings.length > 0
    ? { kind: 'faulty', findings }
    : { kind: 'complete', complements: { policies, secrets: supplies.secrets } };
}

/** The digest by which a configuration names a value. */
export function secretDigest(value: string): string {
  return createHash('sha256').update(value).digest('hex');
}

function hasDigest(value: string | undefined, digest: string): boolean {
  return value !== undefined && secretDigest(value) === digest;
}
