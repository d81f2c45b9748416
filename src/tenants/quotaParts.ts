/**
 * How a tenant's limit is cut into parts, and which nodes hold them. All nodes that know the same members
 * name the same holders. The parts together keep the bound whoever uses them, so no node needs to hear
 * another one for that.
 */
import { rankNames } from '../model/rendezvous.js';
import type { MeshTenant } from './tenant.js';
import type { BucketLimits } from './tokenBucket.js';

/** What the sum of all nodes must keep. */
export interface QuotaBounds {
  /** Every span of this length counts, in milliseconds. */
  readonly windowMs: number;
  /** Share by which the sum over all nodes may exceed a limit. */
  readonly overage: number;
  /** Requests by which it may, besides. */
  readonly slack: number;
}

/** A node that may hold parts. */
export interface QuotaMember {
  readonly node: string;
  readonly zone: string;
}

/**
 * Longest time, in milliseconds, from a holder's grant until its request is let through, or its token is
 * back: a holder that has not answered by then is not waited for.
 */
export const GRANT_LIFETIME_MS = 200;

/**
 * Parts beyond the first LEAST_HOLDERS are made only while each holds so many requests: with fewer, two
 * callers that meet at one holder while others are full would find it dry. Also the fewest requests that
 * a tenant's clients are taken to send together.
 */
const PART_DEPTH = 4;

/**
 * Even a small tenant's parts have so many holders, as long as each has a whole request: one that is silent
 * does not have all refused, and a request can ask each of them.
 */
const LEAST_HOLDERS = 3;

/**
 * Requests that a tenant sends in this time, in milliseconds, may come together: a pause of its clients, or
 * of the node that they ask, bunches them.
 */
const TOGETHER_MS = 250;

const MILLISECONDS_PER_SECOND = 1_000;

/** True for a tenant whose requests are limited. */
export function isLimited(tenant: MeshTenant): boolean {
  return tenant.ratePerS > 0;
}

/** Most requests that a tenant may send in a window, over all nodes. */
export function windowBound(tenant: MeshTenant, bounds: QuotaBounds): number {
  return limitOf(tenant, bounds) * (1 + bounds.overage) + bounds.slack;
}

/** What a tenant is granted in a window. */
function limitOf({ ratePerS, burst }: MeshTenant, { windowMs }: QuotaBounds): number {
  return (ratePerS * windowMs) / MILLISECONDS_PER_SECOND + burst;
}

/**
 * The limit as one bucket that keeps the bound in every window. A tenant may send rate and burst in each
 * window, so its tokens come as fast as that, the burst spread over the window: one that goes on sending
 * all it may is refused nothing. What the bound allows besides, overage and slack, is the depth. What
 * was granted just before a window may run in it. Where that leaves no depth for requests that come
 * together, the spread burst gives way: a tenant below its rate is refused nothing either.
 */
export function quotaLimitsOf(tenant: MeshTenant, bounds: QuotaBounds): BucketLimits {
  const bound = windowBound(tenant, bounds);
  const spanMs = bounds.windowMs + GRANT_LIFETIME_MS;
  const tokensPerMs = limitOf(tenant, bounds) / bounds.windowMs;
  const depth = bound - tokensPerMs * spanMs;
  const least = leastDepth(tenant, bound, spanMs);
  return depth >= least
    ? { tokensPerMs, depth }
    : { tokensPerMs: bound > least ? (bound - least) / spanMs : tokensPerMs, depth: least };
}

/** What requests that come together need, as far as the tenant's rate leaves it; one request at the least. */
function leastDepth({ ratePerS }: MeshTenant, bound: number, spanMs: number): number {
  const ratePerMs = ratePerS / MILLISECONDS_PER_SECOND;
  const together = Math.max(PART_DEPTH, ratePerMs * TOGETHER_MS);
  return Math.max(1, Math.min(together, bound - ratePerMs * spanMs));
}

/** One of the equal parts of a quota. */
export function partLimitsOf(quota: BucketLimits, holders: number): BucketLimits {
  return { tokensPerMs: quota.tokensPerMs / holders, depth: quota.depth / holders };
}

/**
 * The holders of a tenant's parts: as many as leave each part PART_DEPTH requests, LEAST_HOLDERS at the
 * least if each then has one, and at the most all members. Each zone has its share of them, so that one
 * that is cut off has its share of the limit.
 */
export function holdersOf(
  tenant: string,
  quota: BucketLimits,
  members: readonly QuotaMember[],
): readonly QuotaMember[] {
  const deep = Math.floor(quota.depth / PART_DEPTH);
  const wanted = Math.max(1, deep, Math.min(LEAST_HOLDERS, Math.floor(quota.depth)));
  if (wanted >= members.length) {
    return members;
  }
  const known = ranks.get(members) ?? new Map<string, readonly QuotaMember[]>();
  ranks.set(members, known);
  const ranked = known.get(tenant) ?? rankMembers(tenant, members);
  known.set(tenant, ranked);
  return ranked.slice(0, wanted);
}

/** Ranks that have been worked out, by the list of members and the tenant: versions change, members stay. */
const ranks = new WeakMap<readonly QuotaMember[], Map<string, readonly QuotaMember[]>>();

function rankMembers(tenant: string, members: readonly QuotaMember[]): readonly QuotaMember[] {
  const ranked = zonesOf(members).flatMap((zone) => {
    const byName = new Map(zone.map((member) => [member.node, member]));
    const names = rankNames(tenant, [...byName.keys()]);
    return names.map((name, place) => ({
      member: byName.get(name) as QuotaMember,
      // Zones take turns by their sizes.
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
