/** The shares that many nodes give a version, each by itself, and what they sum up to. */
import { describe, expect, it } from 'vitest';
import { type RolloutOrder, RolloutPhase, RolloutState } from './rolloutOrder.js';
import type { RolloutView, VersionedOwner } from './versionRules.js';
import { createVersionSelector } from './versionSelector.js';

const BOUNDS = { exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000 };
const ORDER: RolloutOrder = {
  service: 'desk',
  targetVersion: 'v2',
  durationMs: 12_000,
  id: '1',
  state: RolloutState.Running,
};
const OWNERS: readonly VersionedOwner[] = [
  { node: 'old-1', version: 'v1' },
  { node: 'old-2', version: 'v1' },
  { node: 'new-1', version: 'v2' },
  { node: 'new-2', version: 'v2' },
];

interface Setup {
  readonly view?: Partial<RolloutView> | undefined;
  readonly owners?: readonly VersionedOwner[];
  readonly nodes?: number | (() => number);
  readonly random?: () => number;
  readonly isListed?: boolean;
  readonly withdrawn?: readonly string[];
  readonly now?: () => number;
}

function sharesOf(setup: Setup) {
  const { owners = OWNERS, nodes = 1, isListed = true, withdrawn = [], now = () => 0 } = setup;
  return createVersionSelector({
    clock: { now },
    bounds: () => BOUNDS,
    applyMs: () => 2_500,
    owners: () => owners,
    nodes: typeof nodes === 'function' ? nodes : () => nodes,
    ...(setup.random && { random: setup.random }),
    view: () =>
      setup.view && {
        order: ORDER,
        generation: 1,
        phase: RolloutPhase.Watch,
        ageMs: 1_000,
        plan: undefined,
        isStale: false,
        ...setup.view,
      },
    isSynced: () => isListed,
    withdrawn: () => new Set(withdrawn),
  });
}

/** Offers one request as a dispatch does: the preferred owners first, then the usual ones. */
function offer(shares: ReturnType<typeof sharesOf>, owners = OWNERS): string | undefined {
  const share = shares.select('desk', 'read');
  const { preferred, fallback = () => true } = share;
  const names = owners.map(({ node }) => node);
  const first = (preferred && names.find(preferred)) ?? names.find(fallback);
  if (first) {
    share.noteOffer(first);
  }
  return first;
}

const toTarget = (offered: readonly (string | undefined)[]) =>
  offered.filter((node) => node?.startsWith('new')).length;

describe('VersionShares', () => {
  it.each([20, 200, 2_000])('%i nodes together stay far inside the bound', (nodes) => {
    // Each request looks for the version: nothing but the bound holds it back.
    const setup = { view: {}, nodes, random: () => 0 };
    const ingresses = Array.from({ length: nodes }, () => sharesOf(setup));
    const offered: (string | undefined)[] = [];
    for (const perNode of [1, 5, 40]) {
      for (const shares of ingresses) {
        offered.push(...Array.from({ length: perNode }, () => offer(shares)));
      }
      const most = offered.length * BOUNDS.exposureShare + BOUNDS.exposureSlack;
      expect(toTarget(offered)).toBeLessThanOrEqual(most / 2);
    }
    expect(toTarget(offered)).toBeGreaterThan(0);
  });

  it('keeps its part of the slack when others are away', () => {
    let known = 10;
    const shares = sharesOf({ view: {}, nodes: () => known, random: () => 0 });
    const first = offer(shares);
    known = 1;
    const all = [first, ...Array.from({ length: 200 }, () => offer(shares))];
    expect(toTarget(all)).toBe(12);
  });

  it('gives the version enough to be judged', () => {
    const shares = sharesOf({ view: {} });
    const offered = Array.from({ length: 4_000 }, () => offer(shares));
    expect(toTarget(offered)).toBeGreaterThan(4_000 * 0.04);
  });

  it('counts anew for the same order made again: requests of before bring no burst', () => {
    let begun = 1;
    const shares = sharesOf({
      view: {
        get generation() {
          return begun;
        },
      },
    });
    for (let each = 0; each < 10_000; each += 1) {
      shares.select('desk', 'read');
    }
    begun = 2;
    const offered = Array.from({ length: 1_000 }, () => offer(shares));
    expect(toTarget(offered)).toBeLessThanOrEqual(1_000 * 0.05 + 25);
  });

  it('gives back what has not reached a back end, and counts each further offer', () => {
    const shares = sharesOf({ view: {}, random: () => 0 });
    const offerMany = () => Array.from({ length: 1_000 }, () => offer(shares));
    expect(toTarget(offerMany())).toBe(75);
    const share = shares.select('desk', 'read');
    share.noteOffer('new-1');
    share.noteUndelivered('new-1');
    share.noteUndelivered('new-1');
    expect(toTarget(offerMany())).toBe(50);
  });

  it('sends nothing to the version once it is bad, stale or rolled back', () => {
    const states: Partial<RolloutView>[] = [
      { phase: RolloutPhase.Halt },
      { isStale: true },
      { order: { ...ORDER, state: RolloutState.RolledBack } },
    ];
    for (const view of states) {
      const shares = sharesOf({ view });
      expect(toTarget(Array.from({ length: 500 }, () => offer(shares)))).toBe(0);
    }
  });

  it('sends nothing more after as many bad answers here as all nodes may see', () => {
    const shares = sharesOf({ view: {} });
    let sent = 0;
    for (let each = 0; each < 5_000; each += 1) {
      const share = shares.select('desk', 'read');
      const node = share.preferred && ['new-1', 'new-2'].find(share.preferred);
      if (node) {
        sent += 1;
        share.noteOffer(node);
        share.noteFailure(node);
      }
    }
    expect(sent).toBe(50);
  });

  it('sends everything to the version in the last step and after it', () => {
    for (const view of [
      { phase: RolloutPhase.Shift },
      { phase: RolloutPhase.Done },
      { order: { ...ORDER, state: RolloutState.Completed } },
    ]) {
      const shares = sharesOf({ view });
      expect(toTarget(Array.from({ length: 100 }, () => offer(shares)))).toBe(100);
    }
  });

  it('takes owners that have not told their version for the new one, if others have', () => {
    const owners = [...OWNERS.slice(0, 2), { node: 'new-3', version: undefined }];
    const shares = sharesOf({ view: {}, owners });
    const offered = Array.from({ length: 1_000 }, () => offer(shares, owners));
    expect(toTarget(offered)).toBeLessThanOrEqual(1_000 * 0.05 + 25);
  });

  it('knows nothing of versions while most owners have not told theirs', () => {
    const owners = ['a', 'b', 'c'].map((node) => ({ node, version: undefined }));
    const shares = sharesOf({ view: {}, owners: [...owners, { node: 'd', version: 'v1' }] });
    expect(shares.select('desk', 'read').fallback).toBeUndefined();
  });

  it('keeps a version that nobody ordered small only as long as an order may be on its way', () => {
    let now = 0;
    let owners = OWNERS.slice(0, 2);
    const shares = createVersionSelector({
      clock: { now: () => now },
      bounds: () => BOUNDS,
      applyMs: () => 2_500,
      owners: () => owners,
      nodes: () => 1,
      view: () => undefined,
      isSynced: () => true,
      withdrawn: () => new Set(),
    });
    expect(shares.select('desk', 'read').fallback).toBeUndefined();
    now = 10_000;
    owners = [...OWNERS];
    expect(shares.select('desk', 'read').fallback?.('new-1')).toBe(false);
    now = 12_600;
    expect(shares.select('desk', 'read').fallback).toBeUndefined();
  });

  it('asks the owners of the plan first in the last step, and the others only until they are fenced', () => {
    const plan = (isFenced: boolean) => ({
      shares: new Map([['', 1]]),
      owners: new Set(['new-1']),
      isFenced,
    });
    const view = (isFenced: boolean) => ({ phase: RolloutPhase.Shift, plan: plan(isFenced) });
    const open = sharesOf({ view: view(false) }).select('desk', 'read');
    expect(open.preferred?.('new-1')).toBe(true);
    expect(open.preferred?.('new-2')).toBe(false);
    expect(open.fallback?.('old-1')).toBe(true);
    const fenced = sharesOf({ view: view(true) }).select('desk', 'read');
    expect(fenced.preferred).toBeUndefined();
    expect(fenced.fallback?.('new-1')).toBe(true);
    expect(fenced.fallback?.('new-2')).toBe(false);
    expect(fenced.fallback?.('old-1')).toBe(false);
  });

  it('sends nothing to a version whose order was taken back while others stand', () => {
    const shares = sharesOf({ withdrawn: ['v2'] });
    expect(toTarget(Array.from({ length: 500 }, () => offer(shares)))).toBe(0);
    const alone = sharesOf({ withdrawn: ['v2'], owners: OWNERS.slice(2) });
    expect(alone.select('desk', 'read').fallback).toBeUndefined();
  });

  it('sends nothing to owners that have not told a version, while one is taken back', () => {
    const fresh = { node: 'new-3', version: undefined };
    const shares = sharesOf({ withdrawn: ['v2'], owners: [...OWNERS, fresh] });
    expect(shares.select('desk', 'read').fallback?.('new-3')).toBe(false);
  });

  it('sends nothing to owners that have come since it last looked, while a version is held back', () => {
    for (const setup of [{ view: {} }, { withdrawn: ['v2'] }]) {
      const share = sharesOf(setup).select('desk', 'read');
      expect(share.fallback?.('old-1')).toBe(true);
      expect(share.fallback?.('new-3')).toBe(false);
    }
  });

  it('is open everywhere without bounds', () => {
    const shares = createVersionSelector({
      clock: { now: () => 0 },
      bounds: () => undefined,
      applyMs: () => 0,
      owners: () => OWNERS,
      nodes: () => 1,
      view: () => undefined,
      isSynced: () => false,
      withdrawn: () => new Set(),
    });
    expect(shares.select('desk', 'read').fallback).toBeUndefined();
  });
});
