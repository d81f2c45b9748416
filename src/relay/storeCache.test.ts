import { describe, expect, it } from 'vitest';
import { ReadConsistency, type StoredObject } from '../source/object-store.js';
import { mayBeLost, revisionOf } from '../source/storeRevision.js';
import { createStoreCache } from './storeCache.js';
import { createStoreReachability } from './storeReachability.js';
import { decodeStoreResult, encodeStoreResult } from './storeResultCodec.js';

const KIND = 'nodes';

function object(name: string, revision: number): StoredObject<unknown> {
  return { name, revision, spec: { of: name } };
}

function cacheAt(now: { ms: number }) {
  const clock = { now: () => now.ms };
  const reach = createStoreReachability({ clock, onChange: () => {} });
  const cache = createStoreCache({ clock, reach, era: () => 0, freshMs: 100 });
  cache.noteList(KIND, { items: [object('a', 3), object('b', 4)], revision: 5 });
  reach.noteAnswered();
  return { ...cache, noteAnswered: reach.noteAnswered };
}

async function namesAfter(cache: ReturnType<typeof cacheAt>, revision: number | undefined) {
  const result = await cache.read({ kind: KIND, revision, waitMs: 0 });
  return result.ok
    ? result.value.events.map(({ object: { name }, gone }) => (gone ? `-${name}` : name))
    : result.failure;
}

describe('what a node knows of the store', () => {
  it('is listed, and told from any revision since its own list', async () => {
    const cache = cacheAt({ ms: 0 });
    cache.noteChanges(KIND, 5, { events: [{ object: object('c', 6), gone: false }], revision: 6 });
    cache.noteChanges(KIND, 6, { events: [{ object: object('a', 3), gone: true }], revision: 8 });
    expect(await namesAfter(cache, undefined)).toEqual(['b', 'c']);
    expect(await namesAfter(cache, 5)).toEqual(['c', '-a']);
    expect(await namesAfter(cache, 6)).toEqual(['-a']);
    expect(await namesAfter(cache, 8)).toEqual([]);
    expect(await namesAfter(cache, 4)).toBe('history-gone');
  });

  it('tells what a later list shows to have changed, although the history is gone', async () => {
    const cache = cacheAt({ ms: 0 });
    cache.noteList(KIND, { items: [object('b', 4), object('c', 9)], revision: 12 });
    expect(await namesAfter(cache, 5)).toEqual(['-a', 'c']);
    expect(await namesAfter(cache, undefined)).toEqual(['b', 'c']);
  });

  it('does not take changes that begin after what it knows', async () => {
    const cache = cacheAt({ ms: 0 });
    cache.noteChanges(KIND, 7, { events: [{ object: object('d', 8), gone: false }], revision: 8 });
    expect(await namesAfter(cache, 5)).toEqual([]);
  });

  it('is not told once the store has not answered for a while', async () => {
    const now = { ms: 0 };
    const cache = cacheAt(now);
    now.ms = 99;
    expect(await namesAfter(cache, 5)).toEqual([]);
    now.ms = 100;
    expect(await namesAfter(cache, 5)).toBe('unavailable');
    cache.noteAnswered();
    expect(await namesAfter(cache, 5)).toEqual([]);
  });

  it('keeps earlier versions for a while, and shares what they have in common', () => {
    const cache = cacheAt({ ms: 0 });
    cache.noteList('main', {
      items: [{ name: 'main', revision: 5, spec: [[1], [2]] }],
      revision: 5,
    });
    for (let revision = 6; revision < 50; revision += 1) {
      const changed = { name: 'main', revision, spec: [[1], [revision]] };
      const events = [{ object: changed, gone: false }];
      const told = cache.noteChanges('main', revision - 1, { events, revision });
      const before = cache.objectAt('main', revision - 1)?.spec as unknown[];
      expect(told.events[0]?.object.spec[0]).toBe(before[0]);
    }
    expect(cache.objectAt('main', 18)?.spec).toEqual([[1], [18]]);
    expect(cache.objectAt('main', 10)).toBeUndefined();
    expect(cache.singleObjectRevision('main')).toBe(49);
    expect(cache.singleObjectRevision(KIND)).toBeUndefined();
  });

  it('wakes who waits for a change, and who waits while it grows old', async () => {
    const clock = { now: () => performance.now() };
    const reach = createStoreReachability({ clock, onChange: () => {} });
    const cache = createStoreCache({ clock, reach, era: () => 0, freshMs: 150 });
    cache.noteList(KIND, { items: [], revision: 1 });
    reach.noteAnswered();
    const first = cache.read({ kind: KIND, revision: 1, waitMs: 5_000 });
    cache.noteChanges(KIND, 1, { events: [{ object: object('a', 2), gone: false }], revision: 2 });
    expect(await first).toMatchObject({ ok: true, value: { revision: 2 } });
    const second = await cache.read({ kind: KIND, revision: 2, waitMs: 5_000 });
    expect(second).toMatchObject({ ok: false, failure: 'unavailable' });
  });
});

describe('an answer between nodes', () => {
  it('is the same after its way, small or large', () => {
    for (const routes of [1, 2_000]) {
      const spec = {
        routes: Array.from({ length: routes }, (_, index) => ({ name: `r-${index}` })),
      };
      const events = [{ object: { name: 'main', revision: 7, spec }, gone: false }];
      const result = { ok: true, value: { events, revision: 9 } } as const;
      expect(decodeStoreResult(encodeStoreResult(result))).toEqual(result);
    }
  });

  it('tells the difference from a version that its receiver holds, and only to who holds it', () => {
    const routes = Array.from({ length: 500 }, (_, index) => [`route-${index}`, 'desk']);
    const held = { name: 'main', revision: 7, spec: { version: 1, routes } };
    const spec = { version: 2, routes: [...routes, ['added', 'desk']] };
    const events = [{ object: { name: 'main', revision: 9, spec }, gone: false }];
    const result = { ok: true, value: { events, revision: 9 } } as const;
    const bytes = encodeStoreResult(result, held);
    expect(bytes.length).toBeLessThan(150);
    const objectAt = (revision: number) => (revision === 7 ? held : undefined);
    expect(decodeStoreResult(bytes, objectAt)).toEqual(result);
    expect(decodeStoreResult(bytes)).toBeUndefined();
    const other = { ...held, spec: { ...held.spec, routes: routes.slice(1) } };
    expect(decodeStoreResult(bytes, () => other)).toBeUndefined();
  });

  it('that cannot be read is none', () => {
    for (const bytes of [[], [0], [1, 2, 3], [0, 0x81, 0xf6], [0, 0x82, 0x01, 0x81, 0x01]]) {
      expect(decodeStoreResult(Buffer.from(bytes))).toBeUndefined();
    }
  });
});

describe('what a node knows of a store that may have come back from a copy', () => {
  const LATER = revisionOf(1, 2);

  it('is told to nobody from when the history is gone until it is listed anew', async () => {
    const cache = cacheAt({ ms: 0 });
    cache.markStale(KIND);
    expect(await namesAfter(cache, undefined)).toBe('unavailable');
    expect(await namesAfter(cache, 5)).toBe('unavailable');
    cache.noteList(KIND, { items: [object('b', revisionOf(1, 1))], revision: LATER });
    expect(await namesAfter(cache, undefined)).toEqual(['b']);
  });

  it('gives way to a list of now, if it comes from one that may have lagged and nothing has borne it out', async () => {
    const clock = { now: () => 0 };
    const reach = createStoreReachability({ clock, onChange: () => {} });
    const cache = createStoreCache({ clock, reach, era: () => 0, freshMs: 100 });
    reach.noteAnswered();
    cache.noteList(
      KIND,
      { items: [object('a', 300)], revision: 310 },
      ReadConsistency.BoundedStaleness,
    );
    cache.markStale(KIND);
    cache.noteList(KIND, { items: [object('b', 250)], revision: 260 }, ReadConsistency.Strong);
    const result = await cache.read({ kind: KIND, revision: undefined, waitMs: 0 });
    expect(result.ok && result.value).toMatchObject({
      events: [{ object: { name: 'b' } }],
      revision: 260,
    });
  });

  it('stays in doubt after a list that is older than it', async () => {
    const cache = cacheAt({ ms: 0 });
    cache.markStale(KIND);
    cache.noteList(KIND, { items: [], revision: 2 });
    expect(await namesAfter(cache, undefined)).toBe('unavailable');
  });

  it('comes to those who waited meanwhile as what has changed and what is gone', async () => {
    const cache = cacheAt({ ms: 0 });
    cache.markStale(KIND);
    const waiting = cache.read({ kind: KIND, revision: 5, waitMs: 1_000 });
    cache.noteList(KIND, { items: [object('b', revisionOf(1, 1))], revision: LATER });
    const result = await waiting;
    const told = result.ok ? result.value.events : [];
    expect(told.map(({ object: { name }, gone }) => [name, gone])).toEqual([
      ['a', true],
      ['b', false],
    ]);
    // By the revisions of the one that is gone its hearer tells that it need not have been removed.
    const [first] = told;
    expect(result.ok && first && mayBeLost(first.object.revision, result.value.revision)).toBe(
      true,
    );
  });

  it('is told to nobody from when this node hears of a later era until it is listed in that', async () => {
    let era = 0;
    const clock = { now: () => 0 };
    const reach = createStoreReachability({ clock, onChange: () => {} });
    const cache = createStoreCache({ clock, reach, era: () => era, freshMs: 100 });
    reach.noteAnswered();
    cache.noteList(KIND, { items: [object('a', 3)], revision: 5 });
    const names = async () => {
      const result = await cache.read({ kind: KIND, revision: undefined, waitMs: 0 });
      return result.ok ? result.value.events.map((event) => event.object.name) : result.failure;
    };
    expect(await names()).toEqual(['a']);
    era = 1;
    // Another zone's reader, which has not heard of it yet.
    cache.noteChanges(KIND, 5, { events: [], revision: 6 });
    expect(await names()).toBe('unavailable');
    cache.noteList(KIND, { items: [object('a', revisionOf(1, 2))], revision: LATER });
    expect(await names()).toEqual(['a']);
  });

  it('is not told to one who has heard of a later era', async () => {
    const cache = cacheAt({ ms: 0 });
    expect(await namesAfter(cache, LATER)).toBe('unavailable');
  });
});
