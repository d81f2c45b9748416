/**
 * Revisions that never go back. A store that has been restored from a copy uses its own revisions
 * again and raises its era. These revisions combine the era (high digits) and the store's own count
 * (low digits) in one number, so that a newer revision is always greater.
 */

/**
 * Number of changes in one era; at 400 changes a second, a store reaches it in 5 years. The
 * combined number stays exact (below 2 ** 53) for 131,072 eras.
 */
const CHANGES_PER_ERA = 2 ** 36;

/** The highest era that a revision can hold. */
export const LAST_ERA = 2 ** 17 - 1;

/** Combines an era and the store's own revision, `count`. */
export function revisionOf(era: number, count: number): number {
  return era * CHANGES_PER_ERA + count;
}

export function eraOf(revision: number): number {
  return Math.floor(revision / CHANGES_PER_ERA);
}

/** Returns the store's own revision. */
export function countOf(revision: number): number {
  return revision % CHANGES_PER_ERA;
}

/**
 * True if an object that was last read at revision `lastSeen` and is missing at revision `current`
 * may have been lost by a restore of the store rather than removed.
 */
export function mayBeLost(lastSeen: number, current: number): boolean {
  return eraOf(lastSeen) < eraOf(current);
}
