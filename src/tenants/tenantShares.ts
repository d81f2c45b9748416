/** Tenants' fair shares of a full back end, in proportion to their rate limits. */
import type { MeshTenant } from './tenant.js';

/** Parts of the sum of all limits, from 0 to 1; a tenant without a limit counts as the largest of the others. */
export function createTenantShares(tenants: readonly MeshTenant[]): (tenant: string) => number {
  const largest = Math.max(0, ...tenants.map(({ ratePerS }) => ratePerS)) || 1;
  const parts = new Map(tenants.map(({ name, ratePerS }) => [name, ratePerS || largest]));
  const sum = [...parts.values()].reduce((total, part) => total + part, 0);
  // A tenant that this version does not know was let in by another one.
  return (tenant) => (parts.get(tenant) ?? largest) / Math.max(sum, largest);
}
