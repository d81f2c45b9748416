/**
 * Schema and checks of tenants. A request with one of a tenant's API keys belongs to that tenant.
 */
import * as z from 'zod';
import type { Finding } from '../model/finding.js';

/** The largest number, which is the least urgent priority. */
export const MAX_PRIORITY = 255;

/**
 * A name is sent in a header field (RFC 9110, section 5.5), so it consists of printable ASCII
 * characters without spaces at its ends.
 */
const HEADER_VALUE = /^[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?$/;

export const tenantSchema = z.object({
  name: z.string().regex(HEADER_VALUE, 'expected printable ASCII without spaces at its ends'),
  /** Secrets: any request with one of these keys belongs to the tenant. */
  apiKeys: z.array(z.string().min(1)).default([]),
  /** Takes precedence over the priority of a route; 0 is the most urgent. */
  priority: z.number().int().min(0).max(MAX_PRIORITY).optional(),
  /** Requests per second over all nodes; 0 means no limit. */
  ratePerS: z.number().min(0).default(0),
  /** Number of requests in a window that may exceed the rate. */
  burst: z.number().min(0).default(0),
});

export type MeshTenant = z.infer<typeof tenantSchema>;

/** Checks that no two tenants share a name or a key. The messages contain no keys. */
export function tenantFindings(tenants: readonly MeshTenant[]): Finding[] {
  const names = new Map<string, number>();
  const holders = new Map<string, MeshTenant>();
  const findings: Finding[] = [];
  tenants.forEach((tenant, index) => {
    const other = names.get(tenant.name);
    if (other !== undefined) {
      findings.push({
        code: 'duplicate-name',
        path: `tenants.${index}.name`,
        message: `tenants.${other} has the same name, ${tenant.name}`,
      });
    }
    names.set(tenant.name, other ?? index);
    tenant.apiKeys.forEach((key, place) => {
      const holder = holders.get(key) ?? tenant;
      holders.set(key, holder);
      if (holder !== tenant) {
        findings.push({
          code: 'shared-key',
          path: `tenants.${index}.apiKeys.${place}`,
          message: `tenant ${holder.name} has the same key`,
        });
      }
    });
  });
  return findings;
}
