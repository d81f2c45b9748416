/**
 * Revisions that never go back, though the store's own may: a store that comes back from a copy gives
 * revisions out again, and raises its era. Here the era stands before the store's own count, in one number, so
 * that what is newer is always greater, whichever of the two made it so.
 */

/**
 * Changes of one era that can be told apart. At 400 a second a store makes as many in 5 years; the number stays
 * exact (below 2 ** 53) for 131,072 eras.
 */
const CHANGES_PER_ERA = 2 ** 36;

/** The last era that can be told apart. */
export const LAST_ERA = 2 ** 17 - 1;

/** `count` is the store's own revision. */
export function revisionOf(era: number, count: number): number {
  return era * CHANGES_PER_ERA + count;
}

export function eraOf(revision: number): number {
  return Math.floor(revision / CHANGES_PER_ERA);
}

/** The store's own revision. */
export function countOf(revision: number): number {
  return revision % CHANGES_PER_ERA;
}

/**
 * True if what was last seen at `seen` and isn't there at `now` need not have been removed: the store may have
 * lost it when it came back from a copy.
 */
export function mayBeLost(seen: number, now: number): boolean {
  return eraOf(seen) < eraOf(now);
}
