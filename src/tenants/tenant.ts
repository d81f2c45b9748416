/** Tenants: whoever sends one of a tenant's keys is that tenant. */
import * as z from 'zod';
import type { Finding } from '../model/finding.js';

/** 255 is the least urgent. */
export const MAX_PRIORITY = 255;

/** The name travels in a header field (RFC 9110, section 5.5): printable ASCII, no space at its ends. */
const HEADER_VALUE = /^[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?$/;

export const tenantSchema = z.object({
  name: z.string().regex(HEADER_VALUE, 'expected printable ASCII without spaces at its ends'),
  /** Secrets: whoever sends one of them is the tenant. */
  apiKeys: z.array(z.string().min(1)).default([]),
  /** Goes before the priority of a route; 0 is the most urgent. */
  priority: z.number().int().min(0).max(MAX_PRIORITY).optional(),
  /** Requests a second, over all nodes; 0 is no limit. */
  ratePerS: z.number().min(0).default(0),
  /** Requests on top of the rate. */
  burst: z.number().min(0).default(0),
});

export type MeshTenant = z.infer<typeof tenantSchema>;

/** Names and keys must each lead to one tenant. No message holds a key. */
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
        message: `tenants.${other} is named ${tenant.name} too`,
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
          message: `tenant ${holder.name} holds the same key`,
        });
      }
    });
  });
  return findings;
}
