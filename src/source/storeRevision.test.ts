import { expect, it } from 'vitest';
import { countOf, eraOf, LAST_ERA, mayBeLost, revisionOf } from './storeRevision.js';

it('grows with the era, even if the count has gone back', () => {
  expect(revisionOf(3, 1)).toBeGreaterThan(revisionOf(2, 4_000_000_000));
  expect(revisionOf(2, 8)).toBeGreaterThan(revisionOf(2, 7));
});

it('equals the count if the store reports no era', () => {
  expect(revisionOf(0, 310)).toBe(310);
});

it.each([
  [0, 0],
  [1, 310],
  [LAST_ERA, 2 ** 36 - 1],
])('returns era %i and count %i unchanged', (era, count) => {
  const revision = revisionOf(era, count);
  expect(Number.isSafeInteger(revision)).toBe(true);
  expect([eraOf(revision), countOf(revision)]).toEqual([era, count]);
});

it('distinguishes an object that a restore may have lost from a removed one', () => {
  expect(mayBeLost(revisionOf(1, 300), revisionOf(2, 260))).toBe(true);
  expect(mayBeLost(revisionOf(2, 250), revisionOf(2, 260))).toBe(false);
});
