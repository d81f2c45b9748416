/** The parts of tenants' quotas that one node holds, and who holds the others. */

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

/** What a holder says to a node that asks for requests of a tenant. */
export interface QuotaGrant {
  readonly granted: number;
  /** Milliseconds until the holder has another whole request to grant. */
  readonly dryMs: number;
}

/** A tenant's quota as one node sees it. */
export interface QuotaView {
  readonly tenant: MeshTenant;
  readonly holders: readonly QuotaMember[];
  /** The part that is held here. */
  readonly localBucket: TokenBucket | undefined;
}

/** What the parts follow from. */
export interface QuotaConfiguration {
  readonly version: number;
  readonly tenants: readonly MeshTenant[];
  readonly members: readonly QuotaMember[];
  readonly bounds: QuotaBounds;
}

export interface QuotaPool {
  /** Takes another version, or other members. */
  refresh(setting: QuotaConfiguration, now: number): void;
  /** Undefined for a tenant without a limit, and while nothing is known. */
  view(tenant: string): QuotaView | undefined;
  /** Grants of the part that is held here; undefined if none is. */
  grant(tenant: string, wanted: number, now: number): QuotaGrant | undefined;
}

export function createQuotaPool(node: string): QuotaPool {
  let views = new Map<string, QuotaView>();
  let version: number | undefined;

  /**
   * A node that becomes a holder starts with nothing: the holder before it may have granted all. A tenant
   * that had no limit before has a whole burst, and its new limit binds a window later.
   */
  const bucketOf = (
    tenant: MeshTenant,
    holders: readonly QuotaMember[],
    setting: QuotaConfiguration,
    now: number,
  ) => {
    if (!holders.some((holder) => holder.node === node)) {
      return undefined;
    }
    const part = partLimitsOf(quotaLimitsOf(tenant, setting.bounds), holders.length);
    const before = views.get(tenant.name);
    if (before?.localBucket) {
      before.localBucket.setLimits(part, now);
      return before.localBucket;
    }
    const isNewLimit = version !== undefined && version !== setting.version && !before;
    return createTokenBucket(part, isNewLimit ? part.depth : 0, now);
  };

  const viewOf = (tenant: MeshTenant, setting: QuotaConfiguration, now: number): QuotaView => {
    const holders = holdersOf(tenant.name, quotaLimitsOf(tenant, setting.bounds), setting.members);
    return { tenant, holders, localBucket: bucketOf(tenant, holders, setting, now) };
  };

  return {
    refresh: (setting, now) => {
      const limited = setting.tenants.filter(isLimited);
      views = new Map(limited.map((tenant) => [tenant.name, viewOf(tenant, setting, now)]));
      version = setting.version;
    },
    view: (tenant) => views.get(tenant),
    grant: (tenant, wanted, now) => {
      const own = views.get(tenant)?.localBucket;
      return own && { granted: own.take(wanted, now), dryMs: own.refillMs(now) };
    },
  };
}
