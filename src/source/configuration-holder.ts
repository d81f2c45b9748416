/**
 * Holds the configuration in force. A newer version replaces the held one whole;
 * an older one, whichever way it comes, never does; one that cannot be used
 * whole is held off whole and reported once.
 */
import type { Finding } from '../model/finding.js';
import {
  type AvailableDependencies,
  type MissingDependencies,
  resolveDependencies,
} from '../routing/configurationDependencies.js';
import { createConfigurationCheck, type MeshConfiguration } from '../routing/mesh-configuration.js';
import { RouteMatcher } from '../routing/route-matcher.js';

/** A configuration as it came, with the means to give it to another node. */
export interface ConfigurationCandidate {
  readonly version: number;
  /** In the product's model, unchecked. */
  readonly candidate: unknown;
  /** What another node can decode again. */
  readonly bytes: () => Buffer;
}

/** What became of a candidate. */
export type ApplyResult =
  | { readonly kind: 'in-force'; readonly version: number }
  | { readonly kind: 'not-newer' }
  | { readonly kind: 'held-off'; readonly version: number; readonly findings: readonly Finding[] }
  /** It comes into force once what it lacks is there. */
  | { readonly kind: 'short'; readonly version: number; readonly shortage: MissingDependencies };

/** One per node. */
export class ConfigurationHolder {
  private matcher: RouteMatcher | undefined;
  private held: ConfigurationCandidate | undefined;
  private rejectedVersion = 0;
  private readonly check = createConfigurationCheck();

  /** The routes in force, or undefined before the first configuration. */
  get routes(): RouteMatcher | undefined {
    return this.matcher;
  }

  get version(): number {
    return this.matcher?.version ?? 0;
  }

  /** The configuration in force as bytes for another node. */
  bytes(): Buffer | undefined {
    return this.held?.bytes();
  }

  /** Takes a candidate if it is newer than what is held. */
  apply(
    offered: ConfigurationCandidate,
    supplies: AvailableDependencies = NO_SUPPLIES,
  ): ApplyResult {
    if (!(offered.version > Math.max(this.version, this.rejectedVersion))) {
      return { kind: 'not-newer' };
    }
    return this.check(offered.candidate).caseOf<ApplyResult>({
      Left: (findings) => this.reject(offered.version, findings),
      Right: (configuration) => this.complete(offered, configuration, supplies),
    });
  }

  private complete(
    offered: ConfigurationCandidate,
    configuration: MeshConfiguration,
    supplies: AvailableDependencies,
  ): ApplyResult {
    const { version } = offered;
    const completion = resolveDependencies(configuration, supplies);
    switch (completion.kind) {
      case 'short':
        return { kind: 'short', version, shortage: completion.shortage };
      case 'faulty':
        return this.reject(version, completion.findings);
      default:
        this.matcher = new RouteMatcher(configuration, this.matcher, completion.complements);
        this.held = offered;
        return { kind: 'in-force', version };
    }
  }

  private reject(version: number, findings: readonly Finding[]): ApplyResult {
    this.rejectedVersion = version;
    return { kind: 'held-off', version, findings };
  }
}

const NO_SUPPLIES: AvailableDependencies = { compilePolicy: undefined, secrets: new Map() };
