/**
 * Holds the configuration in force. A newer version replaces the current one as
 * a whole. An older version never does, whether it comes from the store or from
 * another node. A version with any fault is rejected as a whole, and its
 * findings are reported once.
 */
import type { Finding } from '../model/finding.js';
import {
  type AvailableDependencies,
  type MissingDependencies,
  resolveDependencies,
} from '../routing/configurationDependencies.js';
import { createConfigurationCheck, type MeshConfiguration } from '../routing/mesh-configuration.js';
import { RouteMatcher } from '../routing/route-matcher.js';

/** A configuration as received from the store or another node. */
export interface ConfigurationCandidate {
  readonly version: number;
  /** The configuration in the product's model, not yet checked. */
  readonly candidate: unknown;
  /** Encodes the configuration for another node. */
  readonly bytes: () => Buffer;
}

/** The result of applying a candidate. */
export type ApplyResult =
  | { readonly kind: 'in-force'; readonly version: number }
  | { readonly kind: 'not-newer' }
  | { readonly kind: 'held-off'; readonly version: number; readonly findings: readonly Finding[] }
  /** The version lacks policies or secrets; it can come into force once they are loaded. */
  | { readonly kind: 'short'; readonly version: number; readonly shortage: MissingDependencies };

/** One per node. */
export class ConfigurationHolder {
  private matcher: RouteMatcher | undefined;
  private inForce: ConfigurationCandidate | undefined;
  /** Newest version that was rejected. */
  private rejectedVersion = 0;
  private readonly check = createConfigurationCheck();

  /** The routes in force. Undefined before the first configuration. */
  get routes(): RouteMatcher | undefined {
    return this.matcher;
  }

  /** The version in force; 0 before the first configuration. */
  get version(): number {
    return this.matcher?.version ?? 0;
  }

  /** The configuration in force, encoded for another node. */
  bytes(): Buffer | undefined {
    return this.inForce?.bytes();
  }

  /** Puts a candidate into force if it is newer than the version in force, complete and valid. */
  apply(
    candidate: ConfigurationCandidate,
    available: AvailableDependencies = NO_DEPENDENCIES,
  ): ApplyResult {
    if (!(candidate.version > Math.max(this.version, this.rejectedVersion))) {
      return { kind: 'not-newer' };
    }
    return this.check(candidate.candidate).caseOf<ApplyResult>({
      Left: (findings) => this.reject(candidate.version, findings),
      Right: (configuration) => this.applyChecked(candidate, configuration, available),
    });
  }

  private applyChecked(
    candidate: ConfigurationCandidate,
    configuration: MeshConfiguration,
    available: AvailableDependencies,
  ): ApplyResult {
    const { version } = candidate;
    const resolved = resolveDependencies(configuration, available);
    switch (resolved.kind) {
      case 'short':
        return { kind: 'short', version, shortage: resolved.shortage };
      case 'faulty':
        return this.reject(version, resolved.findings);
      default:
        this.matcher = new RouteMatcher(configuration, this.matcher, resolved.complements);
        this.inForce = candidate;
        return { kind: 'in-force', version };
    }
  }

  private reject(version: number, findings: readonly Finding[]): ApplyResult {
    this.rejectedVersion = version;
    return { kind: 'held-off', version, findings };
  }
}

const NO_DEPENDENCIES: AvailableDependencies = { compilePolicy: undefined, secrets: new Map() };
