/**
 * Divides a tenant's limit into quota parts and assigns them to nodes. Nodes with the same list of
 * members compute the same holders. The parts together stay within the bound, whichever requests
 * use them, so nodes need no communication to guarantee it.
 */
import { rankNames } from '../model/rendezvous.js';
import type { MeshTenant } from './tenant.js';
import type { BucketLimits } from './tokenBucket.js';

/** The guarantee for the sum of a tenant's requests over all nodes. */
export interface QuotaBounds {
  /** Length of the window in milliseconds; the bound holds in every window of this length. */
  readonly windowMs: number;
  /** Share of the limit by which the sum over all nodes may exceed it. */
  readonly overage: number;
  /** Number of requests by which the sum may exceed the limit in addition. */
  readonly slack: number;
}

/** A node that may hold quota parts. */
export interface QuotaMember {
  readonly node: string;
  readonly zone: string;
}

/**
 * Longest time from a holder's grant until the request is admitted or the token refunded, in
 * milliseconds. Also the timeout of a request to a holder.
 */
export const GRANT_LIFETIME_MS = 200;

/**
 * Smallest depth, in requests, of a part if a quota has more than MIN_HOLDERS parts. With less, two
 * nodes that ask the same holder could find it empty while others are full. Also the smallest
 * number of requests that a tenant's clients are assumed to send at the same time.
 */
const PART_DEPTH = 4;

/**
 * Smallest number of holders, as long as each has a depth of at least one request. With several
 * holders, one that does not answer does not cause all requests to be refused, and three are few
 * enough for one request to ask them all.
 */
const MIN_HOLDERS = 3;

/**
 * Requests that a tenant sends within this time, in milliseconds, may arrive at the same time,
 * because a pause of its clients or of the node delays them.
 */
const BUNCHING_MS = 250;

const MILLISECONDS_PER_SECOND = 1_000;

/** True if the tenant has a rate limit. */
export function isLimited(tenant: MeshTenant): boolean {
  return tenant.ratePerS > 0;
}

/** Most requests of a tenant that all nodes together may admit in a window. */
export function windowBound(tenant: MeshTenant, bounds: QuotaBounds): number {
  return limitOf(tenant, bounds) * (1 + bounds.overage) + bounds.slack;
}

/** Number of requests that the limit of a tenant grants in a window. */
function limitOf({ ratePerS, burst }: MeshTenant, { windowMs }: QuotaBounds): number {
  return (ratePerS * windowMs) / MILLISECONDS_PER_SECOND + burst;
}

/**
 * Converts a limit into one token bucket that stays within the bound in every window. A tenant may
 * use its rate and its burst in each window, so the bucket fills at the rate plus the burst spread
 * over the window: no request of a tenant that constantly uses its whole limit is refused. The
 * depth is what remains of the bound: the overage and the slack, less the tokens that may be
 * granted up to GRANT_LIFETIME_MS before a window for requests that are admitted in the window. If
 * that depth is too small for requests that arrive at the same time, the bucket fills more slowly
 * instead, so that no request of a tenant below its rate is refused either.
 */
export function quotaLimitsOf(tenant: MeshTenant, bounds: QuotaBounds): BucketLimits {
  const bound = windowBound(tenant, bounds);
  const spanMs = bounds.windowMs + GRANT_LIFETIME_MS;
  const tokensPerMs = limitOf(tenant, bounds) / bounds.windowMs;
  const depth = bound - tokensPerMs * spanMs;
  const minDepth = minDepthOf(tenant, bound, spanMs);
  return depth >= minDepth
    ? { tokensPerMs, depth }
    : {
        tokensPerMs: bound > minDepth ? (bound - minDepth) / spanMs : tokensPerMs,
        depth: minDepth,
      };
}

/**
 * Depth for requests that arrive at the same time, limited to the part of the bound that the
 * tenant's rate does not use, and at least one request.
 */
function minDepthOf({ ratePerS }: MeshTenant, bound: number, spanMs: number): number {
  const ratePerMs = ratePerS / MILLISECONDS_PER_SECOND;
  const together = Math.max(PART_DEPTH, ratePerMs * BUNCHING_MS);
  return Math.max(1, Math.min(together, bound - ratePerMs * spanMs));
}

/** Limits of one of the equal parts of a quota. */
export function partLimitsOf(quota: BucketLimits, holders: number): BucketLimits {
  return { tokensPerMs: quota.tokensPerMs / holders, depth: quota.depth / holders };
}

/**
 * Returns the holders of a tenant's parts. Their number is the largest that leaves each part a
 * depth of PART_DEPTH requests, but at least MIN_HOLDERS if each then has a depth of one request,
 * and at most the number of members. Each zone has its share of the holders, so that a zone that is
 * cut off from the others can still use its share of the limit.
 */
export function holdersOf(
  tenant: string,
  quota: BucketLimits,
  members: readonly QuotaMember[],
): readonly QuotaMember[] {
  const byDepth = Math.floor(quota.depth / PART_DEPTH);
  const wanted = Math.max(1, byDepth, Math.min(MIN_HOLDERS, Math.floor(quota.depth)));
  if (wanted >= members.length) {
    return members;
  }
  const byTenant = rankings.get(members) ?? new Map<string, readonly QuotaMember[]>();
  rankings.set(members, byTenant);
  const ranked = byTenant.get(tenant) ?? rankMembers(tenant, members);
  byTenant.set(tenant, ranked);
  return ranked.slice(0, wanted);
}

/**
 * Cache of rankings by list of members and tenant. It is kept across versions of the configuration,
 * because most of them do not change the members.
 */
const rankings = new WeakMap<readonly QuotaMember[], Map<string, readonly QuotaMember[]>>();

function rankMembers(tenant: string, members: readonly QuotaMember[]): readonly QuotaMember[] {
  const ranked = zonesOf(members).flatMap((zone) => {
    const byName = new Map(zone.map((member) => [member.node, member]));
    const names = rankNames(tenant, [...byName.keys()]);
    return names.map((name, place) => ({
      member: byName.get(name) as QuotaMember,
      // Interleaves the zones in proportion to their sizes.
      turn: (place + 0.5) / zone.length,
    }));
  });
  ranked.sort((left, right) => left.turn - right.turn || compare(left.member, right.member));
  return ranked.map(({ member }) => member);
}

function zonesOf(members: readonly QuotaMember[]): QuotaMember[][] {
  const zones = new Map<string, QuotaMember[]>();
  for (const member of members) {
    const zone = zones.get(member.zone) ?? [];
    zone.push(member);
    zones.set(member.zone, zone);
  }
  return [...zones.values()];
}

function compare(left: QuotaMember, right: QuotaMember): number {
  return left.node < right.node ? -1 : 1;
}
