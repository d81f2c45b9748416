import { windowBound } from '../src/tenants/quotaParts.js';
import { type MeshTenant, tenantSchema } from '../src/tenants/tenant.js';
import {
  BEGIN_MS,
  PLAYS,
  type Play,
  type QuotaWay,
  TELL_MS,
  TRIAL_BOUNDS,
  type World,
  ZONES,
} from './quotaWays.js';
import { seededRandom } from './random.js';

/** One trial. Times in milliseconds; arrivals begin at `BEGIN_MS`. */
export interface QuotaTrial {
  readonly way: QuotaWay;
  readonly nodes: number;
  readonly seed: number;
  /** How many times its usual the largest tenant sends, for eight seconds. */
  readonly heat: number;
  /** True if each client keeps to one node. */
  readonly sticks?: boolean;
  /** Nodes of the last zone are cut off from all others while the tenant is hot. */
  readonly isCut?: boolean;
  /** A quarter of the nodes is killed as the tenant grows hot, and starts again three seconds later. */
  readonly isKilled?: boolean;
  /** The tenant's limit is this many times its usual rate while it is hot, in place of `USUAL_LIMIT`. */
  readonly limitedTo?: number;
}

export interface QuotaTrialResult {
  /** The worst window of any tenant over its bound. */
  readonly worst: number;
  /** Of the requests of all other tenants, the share that was refused. */
  readonly refused: number;
  /** The same for the smaller half of the tenants. */
  readonly refusedSmall: number;
  /** Of what the hot tenant may send while it is hot, the share that it could. */
  readonly used: number;
  /** Calls to other nodes, a node and second. */
  readonly calls: number;
}

const TENANTS = 77;
const REQUESTS_PER_S = 1_300;
const SKEW = 1.2;
const USUAL_LIMIT = 1.6;
const HOT_FROM_MS = 20_000;
const HOT_UNTIL_MS = 28_000;
const END_MS = 36_000;
const RESTART_MS = 3_000;
/** A new version is in force at the last node so long after the first one. */
const APPLY_MS = 2_500;
/** A client that keeps to its node sends so many requests a second. */
const CLIENT_PER_S = 5;

interface Arrival {
  readonly at: number;
  readonly tenant: number;
  readonly node: number;
}

export async function playQuotaTrial(trial: QuotaTrial): Promise<QuotaTrialResult> {
  const random = seededRandom(trial.seed);
  const members = Array.from({ length: trial.nodes }, (_, index) => ({
    node: `node-${index}`,
    zone: `zone-${Math.floor((index * ZONES) / trial.nodes)}`,
  }));
  const world: World = { members, now: 0, down: new Set(), isCut: false };
  const usual = usualRates();
  const limits = tenantsOf(usual, USUAL_LIMIT);
  const changed = tenantsOf(usual, trial.limitedTo ?? USUAL_LIMIT);
  const lowered = limits.map((tenant, index) =>
    index === 0 ? (changed[0] as MeshTenant) : tenant,
  );
  const play = PLAYS[trial.way](world, limits);
  const changes = changesOf(trial, world, play, limits, lowered, random);
  const sent = usual.map(() => ({ asked: 0, admitted: [] as number[] }));
  let nextTick = 0;
  for (const { at, tenant, node } of arrivalsOf(trial, usual, random)) {
    while (changes[0] && changes[0].at <= at) {
      world.now = changes[0].at;
      changes.shift()?.run();
    }
    for (; nextTick <= at; nextTick += TELL_MS) {
      play.tick(nextTick);
    }
    world.now = at;
    // Clients of a node that is down go to another one.
    const target = world.down.has(node) ? aliveNode(world, random) : node;
    const record = sent[tenant] as (typeof sent)[number];
    record.asked += 1;
    if (await play.admit(target, tenant, at)) {
      record.admitted.push(at);
    }
  }
  return resultOf(trial, sent, limits, lowered, play.calls());
}

function resultOf(
  trial: QuotaTrial,
  sent: readonly { readonly asked: number; readonly admitted: readonly number[] }[],
  limits: readonly MeshTenant[],
  lowered: readonly MeshTenant[],
  calls: number,
): QuotaTrialResult {
  const bindsFrom = HOT_FROM_MS + APPLY_MS + TRIAL_BOUNDS.windowMs;
  const worst = sent.map(({ admitted }, index) => {
    const bounds = [limits, lowered].map((each) =>
      windowBound(each[index] as MeshTenant, TRIAL_BOUNDS),
    );
    const whole = worstWindow(admitted) / Math.max(...bounds);
    const within = admitted.filter((at) => at >= bindsFrom && at < HOT_UNTIL_MS);
    const low = worstWindow(within) / windowBound(lowered[index] as MeshTenant, TRIAL_BOUNDS);
    return Math.max(whole, low);
  });
  const refusedOf = (of: typeof sent): number => {
    const asked = of.reduce((sum, each) => sum + each.asked, 0);
    return 1 - of.reduce((sum, { admitted }) => sum + admitted.length, 0) / asked;
  };
  const hotS = (HOT_UNTIL_MS - HOT_FROM_MS) / 1_000;
  const hot = (sent[0]?.admitted ?? []).filter((at) => at >= HOT_FROM_MS && at < HOT_UNTIL_MS);
  return {
    worst: Math.max(...worst),
    refused: refusedOf(sent.slice(1)),
    refusedSmall: refusedOf(sent.slice(Math.floor(TENANTS / 2))),
    used: hot.length / ((limits[0] as MeshTenant).ratePerS * hotS),
    calls: calls / (((END_MS - BEGIN_MS) / 1_000) * trial.nodes),
  };
}

function worstWindow(times: readonly number[]): number {
  let first = 0;
  let worst = 0;
  times.forEach((at, index) => {
    while ((times[first] as number) <= at - TRIAL_BOUNDS.windowMs) {
      first += 1;
    }
    worst = Math.max(worst, index - first + 1);
  });
  return worst;
}

function usualRates(): number[] {
  const weights = Array.from({ length: TENANTS }, (_, index) => (index + 1) ** -SKEW);
  const sum = weights.reduce((total, weight) => total + weight, 0);
  return weights.map((weight) => (REQUESTS_PER_S * weight) / sum);
}

function tenantsOf(usual: readonly number[], times: number): MeshTenant[] {
  return usual.map((rate, index) =>
    tenantSchema.parse({ name: `tenant-${index}`, ratePerS: rate * times, burst: rate * times }),
  );
}

function arrivalsOf(trial: QuotaTrial, usual: readonly number[], random: () => number): Arrival[] {
  const arrivals: Arrival[] = [];
  usual.forEach((rate, tenant) => {
    const clients = Math.max(1, Math.round(rate / CLIENT_PER_S));
    const homes = Array.from({ length: clients }, () => Math.floor(random() * trial.nodes));
    for (let at = BEGIN_MS; at < END_MS; ) {
      const isHot = tenant === 0 && at >= HOT_FROM_MS && at < HOT_UNTIL_MS;
      at += (-Math.log(1 - random()) * 1_000) / (isHot ? rate * trial.heat : rate);
      const any = Math.floor(random() * trial.nodes);
      const home = homes[Math.floor(random() * clients)] as number;
      arrivals.push({ at, tenant, node: trial.sticks ? home : any });
    }
  });
  return arrivals.sort((left, right) => left.at - right.at);
}

function changesOf(
  trial: QuotaTrial,
  world: World,
  play: Play,
  limits: readonly MeshTenant[],
  lowered: readonly MeshTenant[],
  random: () => number,
): { readonly at: number; readonly run: () => void }[] {
  const nodes = world.members.map((_, index) => index);
  const changes: { at: number; run: () => void }[] = [];
  const cut = (at: number, isCut: boolean) =>
    changes.push({
      at,
      run: () => {
        world.isCut = isCut;
      },
    });
  if (trial.isCut) {
    cut(HOT_FROM_MS - 2_000, true);
    cut(HOT_UNTIL_MS, false);
  }
  for (const node of trial.isKilled ? nodes.filter((index) => index % 4 === 0) : []) {
    changes.push({ at: HOT_FROM_MS, run: () => world.down.add(node) });
    changes.push({
      at: HOT_FROM_MS + RESTART_MS,
      run: () => {
        world.down.delete(node);
        play.restart(node, world.now);
      },
    });
  }
  for (const node of trial.limitedTo === undefined ? [] : nodes) {
    const set = (at: number, tenants: readonly MeshTenant[]) =>
      changes.push({ at, run: () => play.limit(node, tenants, world.now) });
    set(HOT_FROM_MS + random() * APPLY_MS, lowered);
    set(HOT_UNTIL_MS + random() * APPLY_MS, limits);
  }
  return changes.sort((left, right) => left.at - right.at);
}

function aliveNode({ members, down }: World, random: () => number): number {
  for (;;) {
    const node = Math.floor(random() * members.length);
    if (!down.has(node)) {
      return node;
    }
  }
}
