/** The ways to keep quotas together that `quotaTrial.ts` plays: the product's own, and two to compare it with. */
import { createQuotaGate, type QuotaGate } from '../src/tenants/quotaGate.js';
import {
  partLimitsOf,
  type QuotaBounds,
  type QuotaMember,
  quotaLimitsOf,
} from '../src/tenants/quotaParts.js';
import { createQuotaPool, type QuotaPool } from '../src/tenants/quotaPool.js';
import type { MeshTenant } from '../src/tenants/tenant.js';
import { createTokenBucket, type TokenBucket } from '../src/tenants/tokenBucket.js';

export const TRIAL_BOUNDS: QuotaBounds = { windowMs: 5_000, overage: 0.1, slack: 20 };

/** Nodes tell their demand, and read what others told, this often, in milliseconds. */
export const TELL_MS = 250;

export const ZONES = 4;

/** Arrivals begin then: by that time all parts are full. */
export const BEGIN_MS = 12_000;

export enum QuotaWay {
  /** Each node has an equal part for itself. */
  EqualParts = 'equal parts',
  /** Nodes tell all others what they are asked for, and each takes its share. */
  ToldAndShared = 'told and shared',
  /** The product's: parts with holders, of which others borrow. */
  Borrowed = 'parts with holders',
}

export type Admit = (node: number, tenant: number, now: number) => boolean | Promise<boolean>;

/** What a way needs to be played. */
export interface Play {
  readonly admit: Admit;
  /** Called every `TELL_MS`. */
  readonly tick: (now: number) => void;
  readonly restart: (node: number, now: number) => void;
  readonly limit: (node: number, tenants: readonly MeshTenant[], now: number) => void;
  readonly calls: () => number;
}

/** What can reach what, as of now. */
export interface World {
  readonly members: readonly QuotaMember[];
  now: number;
  readonly down: Set<number>;
  isCut: boolean;
}

export function reaches({ members, down, isCut }: World, from: number, to: number): boolean {
  const isBehind = (node: number): boolean => members[node]?.zone === `zone-${ZONES - 1}`;
  return !down.has(to) && !(isCut && isBehind(from) !== isBehind(to));
}

function playParts(world: World, limits: readonly MeshTenant[]): Play {
  const partsOf = (tenants: readonly MeshTenant[]) =>
    tenants.map((tenant) =>
      partLimitsOf(quotaLimitsOf(tenant, TRIAL_BOUNDS), world.members.length),
    );
  let force = world.members.map(() => limits);
  const create = (tenants: readonly MeshTenant[], now: number): TokenBucket[] =>
    partsOf(tenants).map((part) => createTokenBucket(part, 0, now));
  const buckets = world.members.map(() => create(limits, 0));
  return {
    admit: (node, tenant, now) => bucketAt(buckets, node, tenant).take(1, now) > 0,
    tick: () => {},
    restart: (node, now) => {
      buckets[node] = create(force[node] ?? limits, now);
    },
    limit: (node, tenants, now) => {
      force = force.map((each, index) => (index === node ? tenants : each));
      partsOf(tenants).forEach((part, index) => {
        buckets[node]?.[index]?.setLimits(part, now);
      });
    },
    calls: () => 0,
  };
}

function bucketAt(buckets: readonly TokenBucket[][], node: number, tenant: number): TokenBucket {
  const row = buckets[node] as TokenBucket[];
  return row[tenant] as TokenBucket;
}

/** A share never falls below this part of an equal one: callers that come to a node at last find some. */
const FLOOR_SHARE = 0.25;

/**
 * Flow proportional share (Raghavan and others 2007), with a guard: a node's own demand counts as it was
 * told a span before, that of others as it was told last, so that shares do not add up to more than all.
 * A node that is not heard counts as last heard, or as an equal part if that is more.
 */
function playTold(world: World, limits: readonly MeshTenant[]): Play {
  const count = world.members.length;
  const zeros = () => world.members.map(() => new Array<number>(limits.length).fill(0));
  const force = world.members.map(() => limits);
  const arrived = zeros();
  const demand = zeros();
  const told = zeros();
  const toldBefore = zeros();
  const create = (now: number) =>
    limits.map((tenant) =>
      createTokenBucket(partLimitsOf(quotaLimitsOf(tenant, TRIAL_BOUNDS), count), 0, now),
    );
  const buckets = world.members.map(() => create(0));
  let calls = 0;
  const rowOf = (rows: number[][], node: number): number[] => rows[node] as number[];
  const nodes = world.members.map((_, index) => index);

  const share = (tenant: number, now: number): void => {
    const groups = world.isCut ? [0, ZONES - 1] : [0];
    const sums = new Map<string, number>();
    const floor = (FLOOR_SHARE * (limits[tenant] as MeshTenant).ratePerS) / count;
    const part = (limits[tenant] as MeshTenant).ratePerS / count;
    const isBehind = (node: number): boolean => world.members[node]?.zone === `zone-${ZONES - 1}`;
    for (const group of groups) {
      const sum = nodes.reduce((total, node) => {
        const last = rowOf(told, node)[tenant] as number;
        const isHeard = !world.down.has(node) && (!world.isCut || isBehind(node) === group > 0);
        return total + floor + (isHeard ? last : Math.max(last, part));
      }, 0);
      sums.set(String(group > 0), sum);
    }
    for (const node of nodes) {
      const sum = sums.get(String(world.isCut && isBehind(node))) as number;
      const last = rowOf(told, node)[tenant] as number;
      const own = Math.min(last, rowOf(toldBefore, node)[tenant] as number);
      const fraction = (own + floor) / (sum - last + own);
      const quota = quotaLimitsOf(force[node]?.[tenant] as MeshTenant, TRIAL_BOUNDS);
      buckets[node]?.[tenant]?.setLimits(
        { tokensPerMs: quota.tokensPerMs * fraction, depth: quota.depth * fraction },
        now,
      );
    }
  };

  return {
    admit: (node, tenant, now) => {
      rowOf(arrived, node)[tenant] = (rowOf(arrived, node)[tenant] as number) + 1;
      return bucketAt(buckets, node, tenant).take(1, now) > 0;
    },
    tick: (now) => {
      if (now >= BEGIN_MS) {
        calls += count * (count - 1);
      }
      for (const node of nodes.filter((each) => !world.down.has(each))) {
        rowOf(arrived, node).forEach((arrivals, tenant) => {
          const rate = (arrivals * 1_000) / TELL_MS;
          const smoothed = 0.75 * (rowOf(demand, node)[tenant] as number) + 0.25 * rate;
          rowOf(demand, node)[tenant] = smoothed;
          rowOf(toldBefore, node)[tenant] = rowOf(told, node)[tenant] as number;
          rowOf(told, node)[tenant] = smoothed;
        });
        rowOf(arrived, node).fill(0);
      }
      limits.forEach((_, tenant) => {
        share(tenant, now);
      });
    },
    restart: (node, now) => {
      buckets[node] = create(now);
      rowOf(demand, node).fill(0);
    },
    limit: (node, tenants) => {
      force[node] = tenants;
    },
    calls: () => calls,
  };
}

function playBorrowed(world: World, limits: readonly MeshTenant[]): Play {
  const force = world.members.map(() => ({ version: 1, tenants: limits }));
  const pools: QuotaPool[] = [];
  const gates: QuotaGate[] = [];
  const indexOf = new Map(world.members.map(({ node }, index) => [node, index]));
  let calls = 0;
  const refresh = (node: number, now: number): void => {
    const { version, tenants } = force[node] as (typeof force)[number];
    const { members } = world;
    pools[node]?.refresh({ version, tenants, members, bounds: TRIAL_BOUNDS }, now);
  };
  const start = (node: number, now: number): void => {
    const { node: name, zone } = world.members[node] as QuotaMember;
    const pool = createQuotaPool(name);
    pools[node] = pool;
    refresh(node, now);
    gates[node] = createQuotaGate({
      clock: { now: () => world.now },
      node: name,
      zone,
      windowMs: TRIAL_BOUNDS.windowMs,
      pool,
      requestGrant: (holder, tenant, wanted) => {
        calls += 1;
        const other = indexOf.get(holder.node) as number;
        const isReached = reaches(world, node, other);
        return Promise.resolve(
          isReached ? pools[other]?.grant(tenant, wanted, world.now) : undefined,
        );
      },
    });
  };
  world.members.forEach((_, node) => {
    start(node, 0);
  });
  return {
    admit: async (node, tenant) => {
      const decision = await gates[node]?.admit(force[node]?.tenants[tenant] as MeshTenant);
      return decision?.isAdmitted === true;
    },
    tick: () => {},
    restart: start,
    limit: (node, tenants, now) => {
      force[node] = { version: (force[node]?.version ?? 1) + 1, tenants };
      refresh(node, now);
    },
    calls: () => calls,
  };
}

/** How each way is played. */
export const PLAYS = {
  [QuotaWay.EqualParts]: playParts,
  [QuotaWay.ToldAndShared]: playTold,
  [QuotaWay.Borrowed]: playBorrowed,
};
