/**
 * Who waits behind the others at a full back end: a tenant that has had more of it lately than its
 * share. All others go in the order of arrival, so that a shortage falls on all alike. Calls of back
 * ends have no tenant and are never behind.
 */

/** A tenant's fair share of a full back end, from 0 to 1: its rate limit over the sum of all tenants' limits. */
export type TenantShare = (tenant: string) => number;

/** What a tenant has had counts half after this time, in milliseconds: the few seconds of a client's retries. */
const HALF_LIFE_MS = 5_000;

/** Requests by which it may have more than its share: those of a small tenant may well come together. */
const FREE_REQUESTS = 3;

export interface TenantFairness {
  /** A task of a tenant has been given a slot. */
  note(tenant: string | undefined, now: number): void;
  /** True if a task of a tenant waits behind those of others that are equally urgent. */
  isOverShare(tenant: string | undefined, now: number): boolean;
}

/** A count that fades. */
interface Amount {
  readonly amount: number;
  readonly at: number;
}

export function createTenantFairness(shareOf: TenantShare): TenantFairness {
  const had = new Map<string, Amount>();
  let all: Amount | undefined;
  return {
    note: (tenant, now) => {
      if (tenant !== undefined) {
        had.set(tenant, { amount: faded(had.get(tenant), now) + 1, at: now });
        all = { amount: faded(all, now) + 1, at: now };
      }
    },
    isOverShare: (tenant, now) => {
      if (tenant === undefined) {
        return false;
      }
      const allowed = shareOf(tenant) * faded(all, now) + FREE_REQUESTS;
      return faded(had.get(tenant), now) > allowed;
    },
  };
}

function faded(amount: Amount | undefined, now: number): number {
  return amount ? amount.amount * 0.5 ** ((now - amount.at) / HALF_LIFE_MS) : 0;
}
