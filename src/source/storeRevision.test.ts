import { expect, it } from 'vitest';
import { countOf, eraOf, LAST_ERA, mayBeLost, revisionOf } from './storeRevision.js';

it('grows with the era, however far the count has gone back', () => {
  expect(revisionOf(3, 1)).toBeGreaterThan(revisionOf(2, 4_000_000_000));
  expect(revisionOf(2, 8)).toBeGreaterThan(revisionOf(2, 7));
});

it('is the count itself where the store tells no era', () => {
  expect(revisionOf(0, 310)).toBe(310);
});

it.each([
  [0, 0],
  [1, 310],
  [LAST_ERA, 2 ** 36 - 1],
])('gives era %i and count %i back', (era, count) => {
  const revision = revisionOf(era, count);
  expect(Number.isSafeInteger(revision)).toBe(true);
  expect([eraOf(revision), countOf(revision)]).toEqual([era, count]);
});

it('tells what may be lost from what was removed', () => {
  expect(mayBeLost(revisionOf(1, 300), revisionOf(2, 260))).toBe(true);
  expect(mayBeLost(revisionOf(2, 250), revisionOf(2, 260))).toBe(false);
});
