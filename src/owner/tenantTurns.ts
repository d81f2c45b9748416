/**
 * Who goes next at a full back end, among tenants: of those that are equally urgent the one that has had
 * least of late for its weight. What a tenant has had fades, so that one that was quiet saves nothing up.
 */

/** What a tenant has had counts half after this time, in milliseconds: a client's retry or two. */
const HALF_LIFE_MS = 2_000;

/** What waits, as far as turns go by it. */
export interface TurnWish {
  readonly tenant: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
}

export interface TenantTurns {
  /** A request of a tenant has been given a slot. */
  note(tenant: string | undefined, now: number): void;
  /** Place of the wish that goes next in a list in the order of arrival; -1 if it is empty. */
  next(waiting: readonly TurnWish[], now: number): number;
  /** Place of the wish that gives up its own for another: the last one of whom has had most. */
  giveUp(waiting: readonly TurnWish[], now: number): number;
}

/** `weightOf` is what a tenant may have beside others, such as the rate of its limit; above 0. */
export function createTenantTurns(weightOf: (tenant: string) => number): TenantTurns {
  const had = new Map<string, { readonly amount: number; readonly at: number }>();

  const hadOf = (tenant: string | undefined, now: number): number => {
    const known = tenant === undefined ? undefined : had.get(tenant);
    return known ? known.amount * 0.5 ** ((now - known.at) / HALF_LIFE_MS) : 0;
  };

  const compare = (left: TurnWish, right: TurnWish, now: number): number =>
    left.priority - right.priority || hadOf(left.tenant, now) - hadOf(right.tenant, now);

  const best = (
    waiting: readonly TurnWish[],
    isBetter: (wish: TurnWish, than: TurnWish) => boolean,
  ): number =>
    waiting.reduce(
      (found, wish, place) =>
        found < 0 || isBetter(wish, waiting[found] as TurnWish) ? place : found,
      -1,
    );

  return {
    note: (tenant, now) => {
      if (tenant !== undefined) {
        had.set(tenant, { amount: hadOf(tenant, now) + 1 / weightOf(tenant), at: now });
      }
    },
    next: (waiting, now) => best(waiting, (wish, than) => compare(wish, than, now) < 0),
    giveUp: (waiting, now) => best(waiting, (wish, than) => compare(wish, than, now) >= 0),
  };
}
