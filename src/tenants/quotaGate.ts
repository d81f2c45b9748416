/**
 * Admits or refuses the requests of a tenant by its quota. A request takes a token from the quota
 * part that this node holds. If that part is empty, the gate asks the other holders one after the
 * other for tokens, for all waiting requests of the tenant together.
 */
import type { Clock } from '../model/clock.js';
import { rankNames } from '../model/rendezvous.js';
import { GRANT_LIFETIME_MS, isLimited, type QuotaMember } from './quotaParts.js';
import type { QuotaGrant, QuotaPool, QuotaView } from './quotaPool.js';
import type { MeshTenant } from './tenant.js';

/** The state behind a refusal, for the log. */
export interface QuotaRefusalDetails {
  readonly ratePerS: number;
  readonly burst: number;
  /** Number of nodes that hold a part of the quota. */
  readonly holders: number;
  /** True if this node holds a part of the quota. */
  readonly isHolder: boolean;
  /** Milliseconds since a holder was last asked. Undefined if none ever was. */
  readonly askedAgoMs: number | undefined;
  /**
   * Number of holders that are asked now only if there are no others, because they granted fewer
   * requests than wanted when last asked.
   */
  readonly dry: number;
  /** Number of holders that are not asked now because they did not answer when last asked. */
  readonly silent: number;
}

export type QuotaDecision =
  | { readonly isAdmitted: true; readonly refund: () => void }
  | {
      readonly isAdmitted: false;
      readonly retryAfterMs: number;
      readonly details: QuotaRefusalDetails;
    };

/** Dependencies and settings of a {@link QuotaGate}. */
export interface QuotaGateContext {
  readonly clock: Clock;
  readonly node: string;
  readonly zone: string;
  readonly windowMs: number;
  readonly pool: QuotaPool;
  /**
   * Asks a holder to grant up to `wanted` requests. Undefined if it does not answer within
   * `GRANT_LIFETIME_MS`.
   */
  readonly requestGrant: (
    holder: QuotaMember,
    tenant: string,
    wanted: number,
  ) => Promise<QuotaGrant | undefined>;
}

export interface QuotaGate {
  /** Decides on one request of a tenant; returns a promise if other holders have to be asked. */
  admit(tenant: MeshTenant): QuotaDecision | Promise<QuotaDecision>;
}

/** Most holders asked in a row without a grant, so that a refusal comes quickly. */
const MAX_ASKED = 4;

/**
 * Backoff after holders have granted nothing, in milliseconds: no holder is asked for that tenant
 * during this time. Requests over a tenant's limit cost a node at most 16 requests to holders
 * a second.
 */
const BACKOFF_MS = 250;

/**
 * Shortest time for which an empty holder is not asked again, in milliseconds, if there are others.
 * Clients that use few nodes empty the parts near them, while holders further away still have
 * tokens.
 */
const EMPTY_HOLDER_BACKOFF_MS = 1_000;

/** Time for which a holder that has not answered is not asked again, in milliseconds. */
const SILENT_HOLDER_BACKOFF_MS = 1_000;

/** State of the requests to other holders for one tenant. */
interface Borrowing {
  /** Requests that wait for a grant, oldest first. */
  readonly waiting: ((decision: QuotaDecision) => void)[];
  /** The limit for which the holders were asked; another limit resets this state. */
  ratePerS: number;
  burst: number;
  /** Steady times at which empty holders have a whole token again, by node. */
  refilledAt: Map<string, number>;
  /** Steady times until which empty holders are not asked if there are others, by node. */
  askAgainAt: Map<string, number>;
  /** Steady times until which holders that did not answer are not asked, by node. */
  silentUntil: Map<string, number>;
  /** True while holders are being asked. */
  isRunning: boolean;
  /** Steady time until which no holder is asked. */
  backoffUntil: number;
  /** Steady time at which a holder was last asked. */
  askedAt: number | undefined;
  /** Steady time at which the client of the last refused request is to retry. */
  lastRetryAt: number;
}

/** Refuses a request with a short retry time, because the parts of the limit are not known yet. */
function refuseUnknownQuota({ ratePerS, burst }: MeshTenant): QuotaDecision {
  const none = { holders: 0, isHolder: false, askedAgoMs: undefined, dry: 0, silent: 0 };
  return { isAdmitted: false, retryAfterMs: BACKOFF_MS, details: { ratePerS, burst, ...none } };
}

const OPEN: QuotaDecision = { isAdmitted: true, refund: () => {} };

export function createQuotaGate(context: QuotaGateContext): QuotaGate {
  const { clock, node, zone, windowMs, pool, requestGrant } = context;
  const borrowings = new Map<string, Borrowing>();

  /**
   * Returns the state for a tenant, reset if the limit has changed since the holders were asked.
   */
  const borrowingOf = (tenant: MeshTenant): Borrowing => {
    const known = borrowings.get(tenant.name) ?? createBorrowing(tenant);
    borrowings.set(tenant.name, known);
    if (known.ratePerS !== tenant.ratePerS || known.burst !== tenant.burst) {
      Object.assign(known, initialState(tenant));
    }
    return known;
  };

  /**
   * Admits a request. After `GRANT_LIFETIME_MS` its refund has no effect, because the token could
   * then be used in another window.
   */
  const admitRequest = (tenant: string): QuotaDecision => {
    const grantedAt = clock.now();
    let isRefunded = false;
    const refund = (): void => {
      const now = clock.now();
      if (!isRefunded && now - grantedAt <= GRANT_LIFETIME_MS) {
        pool.view(tenant)?.localBucket?.refund(now);
      }
      isRefunded = true;
    };
    return { isAdmitted: true, refund };
  };

  /** Refuses a request; retry times are spaced by the rate of this node's share of the limit. */
  const refuseRequest = (view: QuotaView, borrowing: Borrowing): QuotaDecision => {
    const now = clock.now();
    const { tenant, holders, localBucket } = view;
    const ownAt = localBucket ? now + localBucket.refillMs(now) : Number.POSITIVE_INFINITY;
    const othersAt = Math.min(...borrowing.refilledAt.values());
    // Other holders are not asked before the backoff ends, even if they have tokens.
    const borrowAt = Math.max(borrowing.backoffUntil, Number.isFinite(othersAt) ? othersAt : now);
    const first = Math.max(now, Math.min(ownAt, borrowAt));
    const spacingMs = (1_000 * holders.length) / tenant.ratePerS;
    const retryAt = Math.min(Math.max(first, borrowing.lastRetryAt + spacingMs), now + windowMs);
    borrowing.lastRetryAt = retryAt;
    const isAfter = (until: number): boolean => until > now;
    return {
      isAdmitted: false,
      retryAfterMs: retryAt - now,
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

  /** Prefers holders in this node's zone; the order within a zone differs from node to node. */
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
    const available = others.filter((holder) => isPast(borrowing.askAgainAt, holder));
    const near = available.filter((holder) => holder.zone === zone);
    // If all holders are in backoff, asks those that have a token again: with few holders there are
    // no others to ask.
    const refilled = others.filter((holder) => isPast(borrowing.refilledAt, holder));
    const candidates = [near, available, refilled].find((each) => each.length > 0) ?? [];
    const [first] = rankNames(
      `${node}/${view.tenant.name}`,
      candidates.map((holder) => holder.node),
    );
    return candidates.find((holder) => holder.node === first);
  };

  /** Asks one holder for all waiting requests and returns how many were granted. */
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
      borrowing.silentUntil.set(holder.node, now + SILENT_HOLDER_BACKOFF_MS);
      return 0;
    }
    if (grant.granted < wanted) {
      borrowing.refilledAt.set(holder.node, now + grant.dryMs);
      borrowing.askAgainAt.set(holder.node, now + Math.max(grant.dryMs, EMPTY_HOLDER_BACKOFF_MS));
    }
    // More requests may be waiting by now; the holder was asked for `wanted` of them.
    const granted = Math.min(grant.granted, wanted);
    for (const resolve of borrowing.waiting.splice(0, granted)) {
      resolve(admitRequest(tenant));
    }
    return granted;
  };

  const refuseAll = (view: QuotaView, borrowing: Borrowing): void => {
    for (const resolve of borrowing.waiting.splice(0)) {
      resolve(refuseRequest(view, borrowing));
    }
  };

  /** Admits all waiting requests, because a new version has removed the limit. */
  const admitAll = (borrowing: Borrowing): void => {
    for (const resolve of borrowing.waiting.splice(0)) {
      resolve(OPEN);
    }
  };

  /** Asks holders until no request is waiting. */
  const borrow = async (tenant: string, borrowing: Borrowing): Promise<void> => {
    borrowing.isRunning = true;
    let askedInVain = 0;
    while (borrowing.waiting.length > 0) {
      const view = pool.view(tenant);
      const holder = view && nextHolder(view, borrowing, clock.now());
      if (!view) {
        admitAll(borrowing);
      } else if (!holder || askedInVain >= MAX_ASKED) {
        borrowing.backoffUntil = clock.now() + BACKOFF_MS;
        refuseAll(view, borrowing);
      } else {
        const granted = await askOne(holder, tenant, borrowing);
        askedInVain = granted > 0 ? 0 : askedInVain + 1;
      }
    }
    borrowing.isRunning = false;
  };

  return {
    admit: (tenant) => {
      const view = pool.view(tenant.name);
      if (!view) {
        return isLimited(tenant) ? refuseUnknownQuota(tenant) : OPEN;
      }
      const now = clock.now();
      if (view.localBucket && view.localBucket.take(1, now) > 0) {
        return admitRequest(tenant.name);
      }
      const borrowing = borrowingOf(view.tenant);
      if (now < borrowing.backoffUntil) {
        return refuseRequest(view, borrowing);
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
  return { ...initialState(tenant), waiting: [], isRunning: false };
}

function initialState({ ratePerS, burst }: MeshTenant): Omit<Borrowing, 'waiting' | 'isRunning'> {
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
