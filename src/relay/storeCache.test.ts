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

describe('the store cache', () => {
  it('answers lists, and changes from any revision since its own list', async () => {
    const cache = cacheAt({ ms: 0 });
    cache.noteChanges(KIND, 5, { events: [{ object: object('c', 6), gone: false }], revision: 6 });
    cache.noteChanges(KIND, 6, { events: [{ object: object('a', 3), gone: true }], revision: 8 });
    expect(await namesAfter(cache, undefined)).toEqual(['b', 'c']);
    expect(await namesAfter(cache, 5)).toEqual(['c', '-a']);
    expect(await namesAfter(cache, 6)).toEqual(['-a']);
    expect(await namesAfter(cache, 8)).toEqual([]);
    expect(await namesAfter(cache, 4)).toBe('history-gone');
  });

  it('derives changes from a later list, as after the history is gone', async () => {
    const cache = cacheAt({ ms: 0 });
    cache.noteList(KIND, { items: [object('b', 4), object('c', 9)], revision: 12 });
    expect(await namesAfter(cache, 5)).toEqual(['-a', 'c']);
    expect(await namesAfter(cache, undefined)).toEqual(['b', 'c']);
  });

  it('ignores changes that begin after its own revision', async () => {
    const cache = cacheAt({ ms: 0 });
    cache.noteChanges(KIND, 7, { events: [{ object: object('d', 8), gone: false }], revision: 8 });
    expect(await namesAfter(cache, 5)).toEqual([]);
  });

  it('answers unavailable once the store has not answered for freshMs', async () => {
    const now = { ms: 0 };
    const cache = cacheAt(now);
    now.ms = 99;
    expect(await namesAfter(cache, 5)).toEqual([]);
    now.ms = 100;
    expect(await namesAfter(cache, 5)).toBe('unavailable');
    cache.noteAnswered();
    expect(await namesAfter(cache, 5)).toEqual([]);
  });

  it('keeps a limited number of earlier versions, which share their equal parts', () => {
    const cache = cacheAt({ ms: 0 });
    cache.noteList('main', {
      items: [{ name: 'main', revision: 5, spec: [[1], [2]] }],
      revision: 5,
    });
    for (let revision = 6; revision < 50; revision += 1) {
      const changed = { name: 'main', revision, spec: [[1], [revision]] };
      const events = [{ object: changed, gone: false }];
      const noted = cache.noteChanges('main', revision - 1, { events, revision });
      const before = cache.objectAt('main', revision - 1)?.spec as unknown[];
      expect(noted.events[0]?.object.spec[0]).toBe(before[0]);
    }
    expect(cache.objectAt('main', 18)?.spec).toEqual([[1], [18]]);
    expect(cache.objectAt('main', 10)).toBeUndefined();
    expect(cache.singleObjectRevision('main')).toBe(49);
    expect(cache.singleObjectRevision(KIND)).toBeUndefined();
  });

  it('answers a waiting read at a change, and with unavailable once it is not fresh', async () => {
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

describe('encodeStoreResult and decodeStoreResult', () => {
  it('reproduce a small and a large answer', () => {
    for (const routes of [1, 2_000]) {
      const spec = {
        routes: Array.from({ length: routes }, (_, index) => ({ name: `r-${index}` })),
      };
      const events = [{ object: { name: 'main', revision: 7, spec }, gone: false }];
      const result = { ok: true, value: { events, revision: 9 } } as const;
      expect(decodeStoreResult(encodeStoreResult(result))).toEqual(result);
    }
  });

  it('encode the difference from a base that only a receiver with that base can decode', () => {
    const routes = Array.from({ length: 500 }, (_, index) => [`route-${index}`, 'desk']);
    const base = { name: 'main', revision: 7, spec: { version: 1, routes } };
    const spec = { version: 2, routes: [...routes, ['added', 'desk']] };
    const events = [{ object: { name: 'main', revision: 9, spec }, gone: false }];
    const result = { ok: true, value: { events, revision: 9 } } as const;
    const bytes = encodeStoreResult(result, base);
    expect(bytes.length).toBeLessThan(150);
    const objectAt = (revision: number) => (revision === 7 ? base : undefined);
    expect(decodeStoreResult(bytes, objectAt)).toEqual(result);
    expect(decodeStoreResult(bytes)).toBeUndefined();
    const other = { ...base, spec: { ...base.spec, routes: routes.slice(1) } };
    expect(decodeStoreResult(bytes, () => other)).toBeUndefined();
  });

  it('return undefined for an answer that cannot be read', () => {
    for (const bytes of [[], [0], [1, 2, 3], [0, 0x81, 0xf6], [0, 0x82, 0x01, 0x81, 0x01]]) {
      expect(decodeStoreResult(Buffer.from(bytes))).toBeUndefined();
    }
  });
});

describe('the cache of a store that may have been restored from a copy', () => {
  const NEXT_ERA = revisionOf(1, 2);

  it('answers unavailable once the history is gone, until the next list', async () => {
    const cache = cacheAt({ ms: 0 });
    cache.markStale(KIND);
    expect(await namesAfter(cache, undefined)).toBe('unavailable');
    expect(await namesAfter(cache, 5)).toBe('unavailable');
    cache.noteList(KIND, { items: [object('b', revisionOf(1, 1))], revision: NEXT_ERA });
    expect(await namesAfter(cache, undefined)).toEqual(['b']);
  });

  it('is replaced by an older strong list if it comes from an unconfirmed list that may lag', async () => {
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

  it('stays stale after a list that is older than the cache', async () => {
    const cache = cacheAt({ ms: 0 });
    cache.markStale(KIND);
    cache.noteList(KIND, { items: [], revision: 2 });
    expect(await namesAfter(cache, undefined)).toBe('unavailable');
  });

  it('answers reads that waited while it was stale with the changes and removals', async () => {
    const cache = cacheAt({ ms: 0 });
    cache.markStale(KIND);
    const waiting = cache.read({ kind: KIND, revision: 5, waitMs: 1_000 });
    cache.noteList(KIND, { items: [object('b', revisionOf(1, 1))], revision: NEXT_ERA });
    const result = await waiting;
    const events = result.ok ? result.value.events : [];
    expect(events.map(({ object: { name }, gone }) => [name, gone])).toEqual([
      ['a', true],
      ['b', false],
    ]);
    // The revisions show the receiver that the missing object may have been lost, not removed.
    const [first] = events;
    expect(result.ok && first && mayBeLost(first.object.revision, result.value.revision)).toBe(
      true,
    );
  });

  it('answers unavailable once the era has risen, until a list of that era', async () => {
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
    // Changes from another zone's reader that has not seen the new era yet.
    cache.noteChanges(KIND, 5, { events: [], revision: 6 });
    expect(await names()).toBe('unavailable');
    cache.noteList(KIND, { items: [object('a', revisionOf(1, 2))], revision: NEXT_ERA });
    expect(await names()).toEqual(['a']);
  });

  it('answers unavailable to a node that asks from a later era', async () => {
    const cache = cacheAt({ ms: 0 });
    expect(await namesAfter(cache, NEXT_ERA)).toBe('unavailable');
  });
});
