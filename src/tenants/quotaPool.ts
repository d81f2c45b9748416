/** The quota parts that one node holds, and the holders of the other parts. */

import {
  holdersOf,
  isLimited,
  partLimitsOf,
  type QuotaBounds,
  type QuotaMember,
  quotaLimitsOf,
} from './quotaParts.js';
import type { MeshTenant } from './tenant.js';
import { createTokenBucket, type TokenBucket } from './tokenBucket.js';

/** A holder's answer to a node that asks it to grant requests of a tenant. */
export interface QuotaGrant {
  /** Number of requests granted. */
  readonly granted: number;
  /** Milliseconds until the holder has a whole token again. */
  readonly dryMs: number;
}

/** The quota of a tenant with its holders, and this node's part. */
export interface QuotaView {
  readonly tenant: MeshTenant;
  readonly holders: readonly QuotaMember[];
  /** The part that this node holds. Undefined if it holds none. */
  readonly localBucket: TokenBucket | undefined;
}

/** The input from which the parts are computed. */
export interface QuotaConfiguration {
  /** Version of the configuration that defines the tenants. */
  readonly version: number;
  readonly tenants: readonly MeshTenant[];
  readonly members: readonly QuotaMember[];
  readonly bounds: QuotaBounds;
}

export interface QuotaPool {
  /** Recomputes the parts for a new version or other members. */
  refresh(configuration: QuotaConfiguration, now: number): void;
  /** The quota of a tenant. Undefined if it has no limit, and before the first refresh. */
  view(tenant: string): QuotaView | undefined;
  /** Grants up to `wanted` requests from this node's part. Undefined if it holds none. */
  grant(tenant: string, wanted: number, now: number): QuotaGrant | undefined;
}

export function createQuotaPool(node: string): QuotaPool {
  let views = new Map<string, QuotaView>();
  let version: number | undefined;

  /**
   * A node that becomes a holder starts with an empty part, because the previous holder may have
   * granted all of it. The parts of a tenant that had no limit before start full, so its new limit
   * only takes full effect one window later.
   */
  const bucketOf = (
    tenant: MeshTenant,
    holders: readonly QuotaMember[],
    configuration: QuotaConfiguration,
    now: number,
  ) => {
    if (!holders.some((holder) => holder.node === node)) {
      return undefined;
    }
    const part = partLimitsOf(quotaLimitsOf(tenant, configuration.bounds), holders.length);
    const previous = views.get(tenant.name);
    if (previous?.localBucket) {
      previous.localBucket.setLimits(part, now);
      return previous.localBucket;
    }
    const isNewLimit = version !== undefined && version !== configuration.version && !previous;
    return createTokenBucket(part, isNewLimit ? part.depth : 0, now);
  };

  const viewOf = (
    tenant: MeshTenant,
    configuration: QuotaConfiguration,
    now: number,
  ): QuotaView => {
    const holders = holdersOf(
      tenant.name,
      quotaLimitsOf(tenant, configuration.bounds),
      configuration.members,
    );
    return { tenant, holders, localBucket: bucketOf(tenant, holders, configuration, now) };
  };

  return {
    refresh: (configuration, now) => {
      const limited = configuration.tenants.filter(isLimited);
      views = new Map(limited.map((tenant) => [tenant.name, viewOf(tenant, configuration, now)]));
      version = configuration.version;
    },
    view: (tenant) => views.get(tenant),
    grant: (tenant, wanted, now) => {
      const bucket = views.get(tenant)?.localBucket;
      return bucket && { granted: bucket.take(wanted, now), dryMs: bucket.refillMs(now) };
    },
  };
}
