/**
 * Resolves the dependencies of a checked configuration: its compiled placement policies and the
 * values of its secrets. A version that lacks any of them does not come into force.
 */
import { createHash } from 'node:crypto';
import type { Either } from 'purify-ts';
import type { Finding } from '../model/finding.js';
import type { CompiledPolicy, PolicyError } from '../policy/placement-policy.js';
import type { MeshConfiguration } from './mesh-configuration.js';

/** Compiles a placement policy. */
export type PolicyCompiler = (name: string, program: string) => Either<PolicyError, CompiledPolicy>;

/** The available dependencies. Each is fetched only if a configuration needs it. */
export interface AvailableDependencies {
  /** Undefined until the compiler has been loaded. */
  readonly compilePolicy: PolicyCompiler | undefined;
  /** Values of secrets by name. */
  readonly secrets: ReadonlyMap<string, string>;
}

/** The compiled policies of a configuration and the available values of secrets, by name. */
export interface ResolvedDependencies {
  readonly policies: ReadonlyMap<string, CompiledPolicy>;
  readonly secrets: ReadonlyMap<string, string>;
}

/** Dependencies that must be fetched before the configuration can be resolved. */
export interface MissingDependencies {
  /** True if the policy compiler is missing. */
  readonly needsPolicies: boolean;
  /** Names of secrets without a value that has the configured digest. */
  readonly secrets: readonly string[];
}

export type DependencyResolution =
  | { readonly kind: 'complete'; readonly complements: ResolvedDependencies }
  | { readonly kind: 'short'; readonly shortage: MissingDependencies }
  | { readonly kind: 'faulty'; readonly findings: readonly Finding[] };

/** The dependencies of a configuration without policies and secrets. */
export const NO_DEPENDENCIES: ResolvedDependencies = { policies: new Map(), secrets: new Map() };

export function resolveDependencies(
  configuration: MeshConfiguration,
  available: AvailableDependencies,
): DependencyResolution {
  const needsPolicies = configuration.policies.length > 0 && !available.compilePolicy;
  const secrets = configuration.secrets
    .filter(({ name, digest }) => !hasDigest(available.secrets.get(name), digest))
    .map(({ name }) => name);
  if (needsPolicies || secrets.length > 0) {
    return { kind: 'short', shortage: { needsPolicies, secrets } };
  }
  const policies = new Map<string, CompiledPolicy>();
  const findings: Finding[] = [];
  configuration.policies.forEach(({ name, allow }, index) => {
    available
      .compilePolicy?.(name, allow)
      .ifRight((compiled) => policies.set(name, compiled))
      .ifLeft(({ code, message }) =>
        findings.push({ code, path: `policies.${index}.allow`, message }),
      );
  });
  return findings.length > 0
    ? { kind: 'faulty', findings }
    : { kind: 'complete', complements: { policies, secrets: available.secrets } };
}

/** The digest by which a configuration identifies a secret's value. */
export function secretDigest(value: string): string {
  return createHash('sha256').update(value).digest('hex');
}

function hasDigest(value: string | undefined, digest: string): boolean {
  return value !== undefined && secretDigest(value) === digest;
}
