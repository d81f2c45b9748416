/**
 * The plan that the leader sends with each phase; the nodes follow it until the next one arrives.
 */

/** Key in `shares` for all routes that have no entry of their own. */
export const OTHER_ROUTES = '';

export interface RolloutPlan {
  /** By route, the share (0 to 1) of requests that are offered to the version's owners first. */
  readonly shares: ReadonlyMap<string, number>;
  /** Owners with the version that enforce their limits; no other owner with it gets offers. */
  readonly owners: ReadonlySet<string>;
  /**
   * True in the shift once owners of other versions accept nothing new. Until then they receive the
   * requests that are not offered to the version first, and those that its owners reject.
   */
  readonly isFenced: boolean;
}

/** Share of a route's requests that are offered to the version's owners first. */
export function shareOf({ shares }: RolloutPlan, route: string): number {
  return shares.get(route) ?? shares.get(OTHER_ROUTES) ?? 0;
}
