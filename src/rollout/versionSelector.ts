/**
 * Selects the versions of a service that a node's requests may be offered to. Every node keeps
 * within the bound on its own, by the requests that it has received and its part of the slack. The
 * sum over all nodes therefore stays within the bound however many nodes there are and whichever of
 * them are cut off.
 */
import { rankNames } from '../model/rendezvous.js';
import type { ExposureBounds } from './exposure.js';
import { RolloutPhase } from './rolloutOrder.js';
import { shareOf as plannedShareOf } from './rolloutPlan.js';
import { createVersionRules, type VersionRule, type VersionRulesContext } from './versionRules.js';

/**
 * Part of the exposure bound that the nodes use before the shift; the rest is kept for the shift,
 * when the version gets all new requests.
 */
const USED_SHARE = 0.5;

/**
 * Requests that are offered to the version first, as a multiple of the share that it may get. If
 * its back ends are full for some of these requests, the rest of these use up the share; the limit
 * also prevents a burst when the version appears.
 */
const PREFERRED_FACTOR = 2;

/**
 * Failures by back ends of the version, counted at this node, after which the node sends the
 * version no more requests in the watch.
 */
const OWN_BAD_LIMIT = 50;

/**
 * Share of the requests for which every back end of the version is a candidate, and not only the
 * few that the other requests are concentrated on.
 */
const SPREAD_SHARE = 0.25;

/**
 * Smallest number of back ends that the version's requests are concentrated on; with fewer, a
 * faulty machine would look like a bad version.
 */
const MIN_CONCENTRATED = 2;

/** The deployment's bounds on roll-outs. */
export interface RolloutBounds extends ExposureBounds {
  readonly rollbackMs: number;
}

/** Dependencies on the node. */
export interface VersionSelectorContext extends VersionRulesContext {
  readonly bounds: () => RolloutBounds | undefined;
  /** Number of nodes that share the slack; infinite while it is unknown. */
  readonly nodes: () => number;
  readonly random?: () => number;
}

/** True if a request may be offered to the node's back end. */
export type NodePredicate = (node: string) => boolean;

/** The owners that one request may be offered to. */
export interface VersionSelection {
  /** Owners that get offers first; undefined if none are preferred. */
  readonly preferred: NodePredicate | undefined;
  /** Owners that may get offers after the preferred ones; undefined if all owners may. */
  readonly fallback: NodePredicate | undefined;
  /** Counts an offer of the request to an owner. */
  noteOffer(node: string): void;
  /** Takes back the count of an offer that certainly did not reach a back end. */
  noteUndelivered(node: string): void;
  /** Counts a failure of the request by a back end. */
  noteFailure(node: string): void;
}

/** Totals of a node under the present orders. */
export interface SelectionTotals {
  readonly requests: number;
  /** Offers to the versions that are being rolled out. */
  readonly offers: number;
  /** Failures by back ends of these versions. */
  readonly bad: number;
}

/** The selector of a node. */
export interface VersionSelector {
  /** Counts a request for a service and returns the owners that it may be offered to. */
  select(service: string, route: string): VersionSelection;
  readonly totals: SelectionTotals;
}

/** Selection without a rule: the request may be offered to every owner of the service. */
export const UNRESTRICTED_SELECTION: VersionSelection = {
  preferred: undefined,
  fallback: undefined,
  noteOffer: () => {},
  noteUndelivered: () => {},
  noteFailure: () => {},
};

/** Counts of this node under one rule: an order, or a version that appeared without an order. */
interface Account {
  readonly service: string;
  readonly key: string;
  requests: number;
  offers: number;
  bad: number;
}

export function createVersionSelector(context: VersionSelectorContext): VersionSelector {
  const { bounds, nodes } = context;
  const random = context.random ?? Math.random;
  const rules = createVersionRules(context);
  const accounts = new Map<string, Account>();
  let highestNodeCount = 1;

  const accountOf = (service: string, key: string): Account => {
    const current = accounts.get(service);
    if (current?.key === key) {
      return current;
    }
    const created = { service, key, requests: 0, offers: 0, bad: 0 };
    accounts.set(service, created);
    return created;
  };

  /**
   * This node's part of the slack. It does not grow while other nodes are away: they may come back.
   */
  const ownSlack = (slack: number): number => {
    const nodeCount = nodes();
    if (!Number.isFinite(nodeCount)) {
      return 0;
    }
    highestNodeCount = Math.max(highestNodeCount, nodeCount);
    return (slack * USED_SHARE) / highestNodeCount;
  };

  const allows = ({ requests, offers }: Account): boolean => {
    const { exposureShare = 0, exposureSlack = 0 } = bounds() ?? {};
    return offers + 1 <= requests * exposureShare * USED_SHARE + ownSlack(exposureSlack);
  };

  /**
   * Back ends that the version's requests are concentrated on: so few that each carries about the
   * same load as a back end of the others, but at least MIN_CONCENTRATED.
   */
  const concentratedOn = (
    service: string,
    limited: readonly string[],
    others: number,
  ): Set<string> => {
    const { exposureShare = 0 } = bounds() ?? {};
    const wanted = Math.ceil(exposureShare * USED_SHARE * others);
    return new Set(
      rankNames(`loaded/${service}`, limited).slice(0, Math.max(MIN_CONCENTRATED, wanted)),
    );
  };

  const preferredOwners = (
    account: Account,
    rule: VersionRule,
    isSpread: boolean,
  ): NodePredicate => {
    const { limited, others, phase, plan } = rule;
    const eligible = plan ? [...limited].filter((node) => plan.owners.has(node)) : [...limited];
    if (phase === RolloutPhase.Ramp || phase === RolloutPhase.Shift) {
      return (node) => eligible.includes(node);
    }
    const candidates = isSpread
      ? new Set(eligible)
      : concentratedOn(account.service, eligible, others.size);
    // The owners in a plan enforce their limits themselves.
    const isAllowed = () => plan !== undefined || allows(account);
    return (node) => candidates.has(node) && account.bad < OWN_BAD_LIMIT && isAllowed();
  };

  /** Reads the rule at each use, as it may change between the attempts of a request. */
  const selectionOf = (service: string, route: string): VersionSelection => {
    const countedOffers = new Map<string, Account>();
    const draw = random();
    const isSpread = random() < SPREAD_SHARE;
    const currentRule = (): VersionRule | undefined => {
      const rule = rules.ruleFor(service);
      return rule && rule.limited.size > 0 && rule.others.size > 0 ? rule : undefined;
    };
    return {
      get preferred() {
        const rule = currentRule();
        const { exposureShare = 0 } = bounds() ?? {};
        const isPreferred = rule && draw < preferredShareOf(rule, route, exposureShare);
        return isPreferred
          ? preferredOwners(accountOf(service, rule.key), rule, isSpread)
          : undefined;
      },
      get fallback() {
        const rule = currentRule();
        if (!rule) {
          return undefined;
        }
        const { limited, others, phase, plan } = rule;
        switch (phase) {
          case RolloutPhase.Shift:
            return areOthersOpen(rule)
              ? (node: string) => others.has(node)
              : (node: string) => limited.has(node) && (plan?.owners.has(node) ?? true);
          case RolloutPhase.Done:
            return (node: string) => limited.has(node);
          default:
            return (node: string) => others.has(node);
        }
      },
      noteOffer: (node) => {
        const rule = currentRule();
        if (rule?.limited.has(node)) {
          const account = accountOf(service, rule.key);
          account.offers += 1;
          countedOffers.set(node, account);
        }
      },
      noteUndelivered: (node) => {
        const account = countedOffers.get(node);
        if (account) {
          account.offers -= 1;
          countedOffers.delete(node);
        }
      },
      noteFailure: (node) => {
        const account = countedOffers.get(node);
        if (account) {
          account.bad += 1;
        }
      },
    };
  };

  return {
    select: (service, route) => {
      const rule = bounds() && rules.ruleFor(service);
      if (!rule) {
        return UNRESTRICTED_SELECTION;
      }
      accountOf(service, rule.key).requests += 1;
      return selectionOf(service, route);
    },
    get totals() {
      const all = [...accounts.values()];
      const sum = (amountOf: (account: Account) => number) =>
        all.reduce((total, account) => total + amountOf(account), 0);
      return {
        requests: sum(({ requests }) => requests),
        offers: sum(({ offers }) => offers),
        bad: sum(({ bad }) => bad),
      };
    },
  };
}

/**
 * True in the shift until the others are fenced: they get the requests that are not offered to the
 * version first, and those that its owners reject.
 */
function areOthersOpen({ phase, plan }: Pick<VersionRule, 'phase' | 'plan'>): boolean {
  return phase === RolloutPhase.Shift && plan !== undefined && !plan.isFenced;
}

/** Share of a route's requests that are offered to the owners of the version first. */
function preferredShareOf(
  { phase, plan }: VersionRule,
  route: string,
  exposureShare: number,
): number {
  if (phase === RolloutPhase.Shift) {
    return plan && areOthersOpen({ phase, plan }) ? plannedShareOf(plan, route) : 0;
  }
  if (phase !== RolloutPhase.Watch && phase !== RolloutPhase.Ramp) {
    return 0;
  }
  if (plan) {
    return plannedShareOf(plan, route);
  }
  return phase === RolloutPhase.Watch ? exposureShare * USED_SHARE * PREFERRED_FACTOR : 0;
}
