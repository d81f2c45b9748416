/** Checks what back ends have seen of tenants, their keys and their quotas. */
import type http from 'node:http';
import { DEFAULT_HEADER_NAMES as NAMES } from '../src/owner/header-names.js';
import { type QuotaBounds, windowBound } from '../src/tenants/quotaParts.js';
import { type MeshTenant, tenantSchema } from '../src/tenants/tenant.js';
import { type SoakBreach, SoakRule } from './sidecarSoakCheck.js';

/** One request with a tenant's key. */
export interface TenantRequest {
  readonly id: string;
  readonly tenant: string;
  /** The one version whose configuration holds the key; undefined if all do. */
  readonly keyVersion: number | undefined;
  /** Steady time in milliseconds. */
  readonly sentAt: number;
}

/** One run as its back end saw it. */
export interface TenantRun {
  readonly id: string;
  /** Steady time in milliseconds. */
  readonly at: number;
  /** Everything that came with it, but for its body. */
  readonly seen: string;
  readonly headers: http.IncomingHttpHeaders;
}

/** Whose requests are counted. */
export interface QuotaPlan {
  readonly tenant: Readonly<{ name: string; ratePerS: number; burst: number }>;
  readonly bounds: QuotaBounds;
}

/** No key reaches a back end, and no tenant but that of the key. `defaultTenant` sends all other requests. */
export function checkTenants(
  requests: readonly TenantRequest[],
  runs: readonly TenantRun[],
  secret: string,
  defaultTenant: string,
): SoakBreach[] {
  const tenantOf = new Map(requests.map(({ id, tenant }) => [id, tenant]));
  return runs.flatMap<SoakBreach>(({ id, seen, headers }) => {
    const expected = tenantOf.get(id) ?? defaultTenant;
    const told = headers[NAMES.tenant.toLowerCase()];
    const found: SoakBreach[] = [];
    if (seen.includes(secret)) {
      found.push({ rule: SoakRule.Key, detail: `${id}: its back end saw ${seen}` });
    }
    if (told !== expected) {
      found.push({ rule: SoakRule.Tenant, detail: `${id}: ran as ${told}, is ${expected}` });
    }
    return found;
  });
}

/** A key that was taken away so long ago is not run with, nor is one that no version has held. */
export function checkRevoked(
  requests: readonly TenantRequest[],
  runs: readonly TenantRun[],
  writtenAt: ReadonlyMap<number, number>,
  withinMs: number,
): SoakBreach[] {
  const ran = new Set(runs.map(({ id }) => id));
  return requests.flatMap<SoakBreach>(({ id, keyVersion, sentAt }) => {
    if (keyVersion === undefined || !ran.has(id)) {
      return [];
    }
    const takenAt = writtenAt.get(keyVersion + 1) ?? Number.POSITIVE_INFINITY;
    const isHeld = writtenAt.has(keyVersion);
    const lateMs = Math.round(sentAt - takenAt);
    const detail = `${id}: ran with the key of version ${keyVersion}, sent ${lateMs} ms after the next`;
    return isHeld && lateMs <= withinMs ? [] : [{ rule: SoakRule.Revoked, detail }];
  });
}

/** Requests that are both sent and run in a window, whatever is in touch with what, keep the bound. */
export function checkQuota(
  requests: readonly TenantRequest[],
  runs: readonly TenantRun[],
  { tenant, bounds }: QuotaPlan,
): SoakBreach[] {
  const ranAt = new Map<string, number>();
  for (const { id, at } of runs) {
    ranAt.set(id, Math.min(at, ranAt.get(id) ?? Number.POSITIVE_INFINITY));
  }
  const spans = requests
    .filter((request) => request.tenant === tenant.name && ranAt.has(request.id))
    .map(({ id, sentAt }) => ({ from: sentAt, until: ranAt.get(id) as number }));
  const countFrom = (from: number): number =>
    spans.filter((span) => span.from >= from && span.until < from + bounds.windowMs).length;
  const most = Math.max(0, ...spans.map(({ from }) => countFrom(from)));
  const bound = windowBound(asTenant(tenant), bounds);
  const detail = `${tenant.name}: ${most} requests in ${bounds.windowMs} ms, the bound is ${bound}`;
  return most <= bound ? [] : [{ rule: SoakRule.Quota, detail }];
}

function asTenant(tenant: QuotaPlan['tenant']): MeshTenant {
  return tenantSchema.parse(tenant);
}
