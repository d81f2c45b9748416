/**
 * Guards against a version that receives more than the bound in sum over all nodes, each of which
 * limits it on its own, and against requests to versions that are bad, withdrawn or unknown.
 */
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
  readonly isSynced?: boolean;
  readonly withdrawn?: readonly string[];
  readonly now?: () => number;
}

function selectorOf(setup: Setup) {
  const { owners = OWNERS, nodes = 1, isSynced = true, withdrawn = [], now = () => 0 } = setup;
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
    isSynced: () => isSynced,
    withdrawn: () => new Set(withdrawn),
  });
}

/** Offers one request as the dispatch does: to the preferred owners first, then to the fallback. */
function offer(selector: ReturnType<typeof selectorOf>, owners = OWNERS): string | undefined {
  const selection = selector.select('desk', 'read');
  const { preferred, fallback = () => true } = selection;
  const names = owners.map(({ node }) => node);
  const first = (preferred && names.find(preferred)) ?? names.find(fallback);
  if (first) {
    selection.noteOffer(first);
  }
  return first;
}

const toTarget = (offered: readonly (string | undefined)[]) =>
  offered.filter((node) => node?.startsWith('new')).length;

describe('VersionSelector', () => {
  it.each([20, 200, 2_000])('keeps %i nodes together far inside the bound', (nodes) => {
    // Every request prefers the version, so that only the bound limits it.
    const setup = { view: {}, nodes, random: () => 0 };
    const ingresses = Array.from({ length: nodes }, () => selectorOf(setup));
    const offered: (string | undefined)[] = [];
    for (const perNode of [1, 5, 40]) {
      for (const selector of ingresses) {
        offered.push(...Array.from({ length: perNode }, () => offer(selector)));
      }
      const most = offered.length * BOUNDS.exposureShare + BOUNDS.exposureSlack;
      expect(toTarget(offered)).toBeLessThanOrEqual(most / 2);
    }
    expect(toTarget(offered)).toBeGreaterThan(0);
  });

  it('does not use more of the slack while other nodes are away', () => {
    let nodeCount = 10;
    const selector = selectorOf({ view: {}, nodes: () => nodeCount, random: () => 0 });
    const first = offer(selector);
    nodeCount = 1;
    const all = [first, ...Array.from({ length: 200 }, () => offer(selector))];
    expect(toTarget(all)).toBe(12);
  });

  it('sends the version more than 4% of the requests, enough to judge it', () => {
    const selector = selectorOf({ view: {} });
    const offered = Array.from({ length: 4_000 }, () => offer(selector));
    expect(toTarget(offered)).toBeGreaterThan(4_000 * 0.04);
  });

  it('resets its counts when an identical order is made again, which prevents a burst', () => {
    let generation = 1;
    const selector = selectorOf({
      view: {
        get generation() {
          return generation;
        },
      },
    });
    for (let each = 0; each < 10_000; each += 1) {
      selector.select('desk', 'read');
    }
    generation = 2;
    const offered = Array.from({ length: 1_000 }, () => offer(selector));
    expect(toTarget(offered)).toBeLessThanOrEqual(1_000 * 0.05 + 25);
  });

  it('takes back the count of an undelivered offer once', () => {
    const selector = selectorOf({ view: {}, random: () => 0 });
    const offerMany = () => Array.from({ length: 1_000 }, () => offer(selector));
    expect(toTarget(offerMany())).toBe(75);
    const selection = selector.select('desk', 'read');
    selection.noteOffer('new-1');
    selection.noteUndelivered('new-1');
    selection.noteUndelivered('new-1');
    expect(toTarget(offerMany())).toBe(50);
  });

  it('sends nothing to the version when it is halted, stale or rolled back', () => {
    const states: Partial<RolloutView>[] = [
      { phase: RolloutPhase.Halt },
      { isStale: true },
      { order: { ...ORDER, state: RolloutState.RolledBack } },
    ];
    for (const view of states) {
      const selector = selectorOf({ view });
      expect(toTarget(Array.from({ length: 500 }, () => offer(selector)))).toBe(0);
    }
  });

  it('sends nothing more to the version after 50 bad answers at this node', () => {
    const selector = selectorOf({ view: {} });
    let sent = 0;
    for (let each = 0; each < 5_000; each += 1) {
      const selection = selector.select('desk', 'read');
      const node = selection.preferred && ['new-1', 'new-2'].find(selection.preferred);
      if (node) {
        sent += 1;
        selection.noteOffer(node);
        selection.noteFailure(node);
      }
    }
    expect(sent).toBe(50);
  });

  it('sends everything to the version in the shift and after it', () => {
    for (const view of [
      { phase: RolloutPhase.Shift },
      { phase: RolloutPhase.Done },
      { order: { ...ORDER, state: RolloutState.Completed } },
    ]) {
      const selector = selectorOf({ view });
      expect(toTarget(Array.from({ length: 100 }, () => offer(selector)))).toBe(100);
    }
  });

  it('limits owners of unknown version while most versions are known', () => {
    const owners = [...OWNERS.slice(0, 2), { node: 'new-3', version: undefined }];
    const selector = selectorOf({ view: {}, owners });
    const offered = Array.from({ length: 1_000 }, () => offer(selector, owners));
    expect(toTarget(offered)).toBeLessThanOrEqual(1_000 * 0.05 + 25);
  });

  it('limits nothing while the versions of most owners are unknown', () => {
    const owners = ['a', 'b', 'c'].map((node) => ({ node, version: undefined }));
    const selector = selectorOf({ view: {}, owners: [...owners, { node: 'd', version: 'v1' }] });
    expect(selector.select('desk', 'read').fallback).toBeUndefined();
  });

  it('limits a version without an order only until an order would have arrived', () => {
    let now = 0;
    let owners = OWNERS.slice(0, 2);
    const selector = createVersionSelector({
      clock: { now: () => now },
      bounds: () => BOUNDS,
      applyMs: () => 2_500,
      owners: () => owners,
      nodes: () => 1,
      view: () => undefined,
      isSynced: () => true,
      withdrawn: () => new Set(),
    });
    expect(selector.select('desk', 'read').fallback).toBeUndefined();
    now = 10_000;
    owners = [...OWNERS];
    expect(selector.select('desk', 'read').fallback?.('new-1')).toBe(false);
    now = 12_600;
    expect(selector.select('desk', 'read').fallback).toBeUndefined();
  });

  it('prefers the owners in the plan in the shift, and others only until they are fenced', () => {
    const plan = (isFenced: boolean) => ({
      shares: new Map([['', 1]]),
      owners: new Set(['new-1']),
      isFenced,
    });
    const view = (isFenced: boolean) => ({ phase: RolloutPhase.Shift, plan: plan(isFenced) });
    const open = selectorOf({ view: view(false) }).select('desk', 'read');
    expect(open.preferred?.('new-1')).toBe(true);
    expect(open.preferred?.('new-2')).toBe(false);
    expect(open.fallback?.('old-1')).toBe(true);
    const fenced = selectorOf({ view: view(true) }).select('desk', 'read');
    expect(fenced.preferred).toBeUndefined();
    expect(fenced.fallback?.('new-1')).toBe(true);
    expect(fenced.fallback?.('new-2')).toBe(false);
    expect(fenced.fallback?.('old-1')).toBe(false);
  });

  it('sends nothing to a version whose order was withdrawn while other versions are up', () => {
    const selector = selectorOf({ withdrawn: ['v2'] });
    expect(toTarget(Array.from({ length: 500 }, () => offer(selector)))).toBe(0);
    const alone = selectorOf({ withdrawn: ['v2'], owners: OWNERS.slice(2) });
    expect(alone.select('desk', 'read').fallback).toBeUndefined();
  });

  it('sends nothing to owners of unknown version while a version is withdrawn', () => {
    const fresh = { node: 'new-3', version: undefined };
    const selector = selectorOf({ withdrawn: ['v2'], owners: [...OWNERS, fresh] });
    expect(selector.select('desk', 'read').fallback?.('new-3')).toBe(false);
  });

  it('sends nothing to owners newer than its last read while a version is limited', () => {
    for (const setup of [{ view: {} }, { withdrawn: ['v2'] }]) {
      const selection = selectorOf(setup).select('desk', 'read');
      expect(selection.fallback?.('old-1')).toBe(true);
      expect(selection.fallback?.('new-3')).toBe(false);
    }
  });

  it('restricts nothing without bounds', () => {
    const selector = createVersionSelector({
      clock: { now: () => 0 },
      bounds: () => undefined,
      applyMs: () => 0,
      owners: () => OWNERS,
      nodes: () => 1,
      view: () => undefined,
      isSynced: () => false,
      withdrawn: () => new Set(),
    });
    expect(selector.select('desk', 'read').fallback).toBeUndefined();
  });
});
