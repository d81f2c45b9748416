/**
 * Lets a tenant's requests through, or not: from the part of its quota that is held here, else from those
 * of other holders, which are asked in turn. Requests that wait for an answer are asked for together.
 */
import type { Clock } from '../model/clock.js';
import { rankNames } from '../model/rendezvous.js';
import { GRANT_LIFETIME_MS, isLimited, type QuotaMember } from './quotaParts.js';
import type { QuotaGrant, QuotaPool, QuotaView } from './quotaPool.js';
import type { MeshTenant } from './tenant.js';

/** What a refusal rests on, for the log. */
export interface QuotaRefusalDetails {
  readonly ratePerS: number;
  readonly burst: number;
  /** Nodes that hold a part. */
  readonly holders: number;
  /** True if this node is one of them. */
  readonly isHolder: boolean;
  /** Milliseconds since holders were last asked; undefined if none ever was. */
  readonly askedAgoMs: number | undefined;
  /** Holders that were dry, and such as did not answer, when they were last asked. */
  readonly dry: number;
  readonly silent: number;
}

export type QuotaDecision =
  | { readonly isAdmitted: true; readonly refund: () => void }
  | {
      readonly isAdmitted: false;
      readonly retryAfterMs: number;
      readonly details: QuotaRefusalDetails;
    };

/** What is needed of the node. */
export interface QuotaGateContext {
  readonly clock: Clock;
  readonly node: string;
  readonly zone: string;
  readonly windowMs: number;
  readonly pool: QuotaPool;
  /** Asks a holder for grants; undefined when it does not answer within `GRANT_LIFETIME_MS`. */
  readonly requestGrant: (
    holder: QuotaMember,
    tenant: string,
    wanted: number,
  ) => Promise<QuotaGrant | undefined>;
}

export interface QuotaGate {
  admit(tenant: MeshTenant): QuotaDecision | Promise<QuotaDecision>;
}

/** Holders asked one after the other for the same requests: a refusal is to come at once. */
const MOST_ASKED = 4;

/**
 * After holders have granted nothing, none is asked for that tenant for this long, in milliseconds: what a
 * tenant sends over its limit so costs a node at the most 16 calls a second.
 */
const REST_MS = 250;

/**
 * A holder that was dry is not asked again for this long, in milliseconds, unless it has long been: callers
 * that keep to few nodes have used up the parts near them, and there is more further off.
 */
const DRY_MS = 1_000;

/** A holder that has not answered is not asked again for this long, in milliseconds. */
const SILENT_MS = 1_000;

/** What a node remembers of the borrowing for one tenant. */
interface Borrowing {
  readonly waiting: ((decision: QuotaDecision) => void)[];
  /** The limit under which holders were asked. */
  ratePerS: number;
  burst: number;
  /** Steady times at which holders that were dry have a whole request again. */
  refilledAt: Map<string, number>;
  /** Steady times until which they are not asked, and those that were silent. */
  askAgainAt: Map<string, number>;
  silentUntil: Map<string, number>;
  isRunning: boolean;
  backoffUntil: number;
  askedAt: number | undefined;
  /** Steady time for which the last refusal asked its caller back. */
  lastRetryAt: number;
}

/** The parts of a limit are not known yet: nobody is let in by it, and told to come back soon. */
function unknown({ ratePerS, burst }: MeshTenant): QuotaDecision {
  const none = { holders: 0, isHolder: false, askedAgoMs: undefined, dry: 0, silent: 0 };
  return { isAdmitted: false, retryAfterMs: REST_MS, details: { ratePerS, burst, ...none } };
}

const OPEN: QuotaDecision = { isAdmitted: true, refund: () => {} };

export function createQuotaGate(context: QuotaGateContext): QuotaGate {
  const { clock, node, zone, windowMs, pool, requestGrant } = context;
  const borrowings = new Map<string, Borrowing>();

  /** Under another limit, what holders said before does not count. */
  const borrowingOf = (tenant: MeshTenant): Borrowing => {
    const known = borrowings.get(tenant.name) ?? createBorrowing(tenant);
    borrowings.set(tenant.name, known);
    if (known.ratePerS !== tenant.ratePerS || known.burst !== tenant.burst) {
      Object.assign(known, freshMemory(tenant));
    }
    return known;
  };

  /** Later than `GRANT_LIFETIME_MS` a token that comes back could be used in another window. */
  const admitted = (tenant: string): QuotaDecision => {
    const grantedAt = clock.now();
    let isGiven = false;
    const refund = (): void => {
      const now = clock.now();
      if (!isGiven && now - grantedAt <= GRANT_LIFETIME_MS) {
        pool.view(tenant)?.localBucket?.refund(now);
      }
      isGiven = true;
    };
    return { isAdmitted: true, refund };
  };

  /** Callers come back one after the other, as fast as this node's share of the limit lets them in. */
  const refused = (view: QuotaView, borrowing: Borrowing): QuotaDecision => {
    const now = clock.now();
    const { tenant, holders, localBucket } = view;
    const ownAt = localBucket ? now + localBucket.refillMs(now) : Number.POSITIVE_INFINITY;
    const othersAt = Math.min(...borrowing.refilledAt.values());
    // Others are not asked before the rest ends, whatever they have.
    const borrowAt = Math.max(borrowing.backoffUntil, Number.isFinite(othersAt) ? othersAt : now);
    const first = Math.max(now, Math.min(ownAt, borrowAt));
    const spacingMs = (1_000 * holders.length) / tenant.ratePerS;
    const returnAt = Math.min(Math.max(first, borrowing.lastRetryAt + spacingMs), now + windowMs);
    borrowing.lastRetryAt = returnAt;
    const isAfter = (until: number): boolean => until > now;
    return {
      isAdmitted: false,
      retryAfterMs: returnAt - now,
      details: {
        ratePerS: tenant.ratePerS,
        burst: tenant.burst,
        holders: holders.length,
        isHolder: localBucket !== undefined,
        askedAgoMs:
          borrowing.askedAt === undefined ? undefined : Math.round(now - borrowing.askedAt),
        dry: [...borrowing.askAgainAt.values()].filter(isAfter).length,
        silent: [...borrowing.silentUntil.values()].filter(isAfter).length,
      },
    };
  };

  /** Those of the own zone first, each node in an order of its own. */
  const nextHolder = (
    view: QuotaView,
    borrowing: Borrowing,
    now: number,
  ): QuotaMember | undefined => {
    const isPast = (times: ReadonlyMap<string, number>, { node: name }: QuotaMember): boolean =>
      (times.get(name) ?? 0) <= now;
    const others = view.holders.filter(
      (holder) => holder.node !== node && isPast(borrowing.silentUntil, holder),
    );
    const rested = others.filter((holder) => isPast(borrowing.askAgainAt, holder));
    const near = rested.filter((holder) => holder.zone === zone);
    // Where all rest, those that have something again: a tenant of few holders has no others.
    const refilled = others.filter((holder) => isPast(borrowing.refilledAt, holder));
    const candidates = [near, rested, refilled].find((each) => each.length > 0) ?? [];
    const [first] = rankNames(
      `${node}/${view.tenant.name}`,
      candidates.map((holder) => holder.node),
    );
    return candidates.find((holder) => holder.node === first);
  };

  const askOne = async (
    holder: QuotaMember,
    tenant: string,
    borrowing: Borrowing,
  ): Promise<number> => {
    const wanted = borrowing.waiting.length;
    const askedAt = clock.now();
    borrowing.askedAt = askedAt;
    const grant = await requestGrant(holder, tenant, wanted);
    const now = clock.now();
    if (!grant || now - askedAt > GRANT_LIFETIME_MS) {
      borrowing.silentUntil.set(holder.node, now + SILENT_MS);
      return 0;
    }
    if (grant.granted < wanted) {
      borrowing.refilledAt.set(holder.node, now + grant.dryMs);
      borrowing.askAgainAt.set(holder.node, now + Math.max(grant.dryMs, DRY_MS));
    }
    // Others have come meanwhile, for whom nothing was asked.
    const granted = Math.min(grant.granted, wanted);
    for (const resolve of borrowing.waiting.splice(0, granted)) {
      resolve(admitted(tenant));
    }
    return granted;
  };

  const refuseAll = (view: QuotaView, borrowing: Borrowing): void => {
    for (const resolve of borrowing.waiting.splice(0)) {
      resolve(refused(view, borrowing));
    }
  };

  /** A version has lifted the limit meanwhile. */
  const openAll = (borrowing: Borrowing): void => {
    for (const resolve of borrowing.waiting.splice(0)) {
      resolve(OPEN);
    }
  };

  const borrow = async (tenant: string, borrowing: Borrowing): Promise<void> => {
    borrowing.isRunning = true;
    let asked = 0;
    while (borrowing.waiting.length > 0) {
      const view = pool.view(tenant);
      const holder = view && nextHolder(view, borrowing, clock.now());
      if (!view) {
        openAll(borrowing);
      } else if (!holder || asked >= MOST_ASKED) {
        borrowing.backoffUntil = clock.now() + REST_MS;
        refuseAll(view, borrowing);
      } else {
        const granted = await askOne(holder, tenant, borrowing);
        asked = granted > 0 ? 0 : asked + 1;
      }
    }
    borrowing.isRunning = false;
  };

  return {
    admit: (tenant) => {
      const view = pool.view(tenant.name);
      if (!view) {
        return isLimited(tenant) ? unknown(tenant) : OPEN;
      }
      const now = clock.now();
      if (view.localBucket && view.localBucket.take(1, now) > 0) {
        return admitted(tenant.name);
      }
      const borrowing = borrowingOf(view.tenant);
      if (now < borrowing.backoffUntil) {
        return refused(view, borrowing);
      }
      return new Promise((resolve) => {
        borrowing.waiting.push(resolve);
        if (!borrowing.isRunning) {
          void borrow(tenant.name, borrowing);
        }
      });
    },
  };
}

function createBorrowing(tenant: MeshTenant): Borrowing {
  return { ...freshMemory(tenant), waiting: [], isRunning: false };
}

function freshMemory({ ratePerS, burst }: MeshTenant): Omit<Borrowing, 'waiting' | 'isRunning'> {
  return {
    ratePerS,
    burst,
    refilledAt: new Map(),
    askAgainAt: new Map(),
    silentUntil: new Map(),
    backoffUntil: 0,
    askedAt: undefined,
    lastRetryAt: 0,
  };
}
