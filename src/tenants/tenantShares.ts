/**
 * Computes the tenants' fair shares of a fully used back end, in proportion to their rate limits.
 */
import type { MeshTenant } from './tenant.js';

/**
 * Returns a function from a tenant to its share of the sum of all limits, from 0 to 1. A tenant
 * without a limit counts like the tenant with the largest limit.
 */
export function createTenantShares(tenants: readonly MeshTenant[]): (tenant: string) => number {
  const largest = Math.max(0, ...tenants.map(({ ratePerS }) => ratePerS)) || 1;
  const weights = new Map(tenants.map(({ name, ratePerS }) => [name, ratePerS || largest]));
  const sum = [...weights.values()].reduce((total, weight) => total + weight, 0);
  // A tenant that this version does not define was admitted under another version.
  return (tenant) => (weights.get(tenant) ?? largest) / Math.max(sum, largest);
}
