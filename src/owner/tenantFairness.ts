/**
 * Finds tenants that have recently used more than their share of a full back end. Their tasks wait
 * behind those of other tenants. All other tasks go in the order of arrival, so that a shortage
 * affects all tenants equally. Calls of back ends have no tenant and are never over a share.
 */

/**
 * Returns a tenant's fair share of a full back end, from 0 to 1: its rate limit divided by the sum
 * of all tenants' limits.
 */
export type TenantShare = (tenant: string) => number;

/** Half-life of a tenant's usage, in milliseconds: a client's retries take a few seconds. */
const HALF_LIFE_MS = 5_000;

/**
 * Requests that a tenant may have beyond its share: those of a small tenant may arrive in a burst.
 */
const FREE_REQUESTS = 3;

export interface TenantFairness {
  /** Records that a task of a tenant has been given a slot. */
  note(tenant: string | undefined, now: number): void;
  /** True if the tenant's tasks wait behind other tenants' tasks of the same rank. */
  isOverShare(tenant: string | undefined, now: number): boolean;
}

/** A count that decays over time. */
interface Usage {
  readonly count: number;
  /** Steady time in milliseconds to which the count has been decayed. */
  readonly at: number;
}

export function createTenantFairness(shareOf: TenantShare): TenantFairness {
  const usageByTenant = new Map<string, Usage>();
  let totalUsage: Usage | undefined;
  return {
    note: (tenant, now) => {
      if (tenant !== undefined) {
        usageByTenant.set(tenant, {
          count: decayedCount(usageByTenant.get(tenant), now) + 1,
          at: now,
        });
        totalUsage = { count: decayedCount(totalUsage, now) + 1, at: now };
      }
    },
    isOverShare: (tenant, now) => {
      if (tenant === undefined) {
        return false;
      }
      const allowed = shareOf(tenant) * decayedCount(totalUsage, now) + FREE_REQUESTS;
      return decayedCount(usageByTenant.get(tenant), now) > allowed;
    },
  };
}

function decayedCount(usage: Usage | undefined, now: number): number {
  return usage ? usage.count * 0.5 ** ((now - usage.at) / HALF_LIFE_MS) : 0;
}
