/**
 * Which of a service's versions one node's requests may be offered to. Every node keeps to the bound by
 * itself, from the requests that it has seen and its part of the slack, so that the sum over all nodes
 * stays inside it however many they are and whoever is cut off.
 */
import { rankNames } from '../model/rendezvous.js';
import type { ExposureBounds } from './exposure.js';
import { RolloutPhase } from './rolloutOrder.js';
import { shareOf as plannedShareOf } from './rolloutPlan.js';
import { createVersionRules, type VersionRule, type VersionRulesContext } from './versionRules.js';

/** Part of the bound that is used: it leaves room for the last step, in which the version gets all. */
const USED_SHARE = 0.5;

/**
 * Requests that look for a back end of the version first, as a multiple of the share that it may get:
 * where some find it full, others use its share up; and it gets no burst when it appears.
 */
const LOOKING_FACTOR = 2;

/** Bad answers of the version at this node alone after which it sends nothing more there. */
const OWN_BAD_LIMIT = 50;

/** Part of the requests to the version that go to any of its back ends, not only to the loaded ones. */
const SPREAD_SHARE = 0.25;

/** Fewer loaded back ends could not tell a bad version from a machine in trouble. */
const MIN_LOADED = 2;

/** The bounds of the deployment. */
export interface RolloutBounds extends ExposureBounds {
  readonly rollbackMs: number;
}

/** What is needed of the node. */
export interface VersionSelectorContext extends VersionRulesContext {
  readonly bounds: () => RolloutBounds | undefined;
  /** Nodes that share the slack; infinite while they are not known. */
  readonly nodes: () => number;
  readonly random?: () => number;
}

/** Says of a node whether a request may be offered to its back end. */
export type NodePredicate = (node: string) => boolean;

/** One request's part. */
export interface VersionSelection {
  /** Owners that are asked first; undefined if none come before the usual ones. */
  readonly preferred: NodePredicate | undefined;
  /** Undefined when all owners of the service may be asked. */
  readonly fallback: NodePredicate | undefined;
  /** The request is offered to an owner. */
  noteOffer(node: string): void;
  /** An offer has certainly not reached a back end. */
  noteUndelivered(node: string): void;
  /** A back end has failed the request. */
  noteFailure(node: string): void;
}

/** What a node has seen and sent under the present orders. */
export interface SelectionTotals {
  readonly requests: number;
  /** To the versions that are being rolled out. */
  readonly offers: number;
  /** Of these versions. */
  readonly bad: number;
}

/** One per node. */
export interface VersionSelector {
  /** A request for a service has come, on a route. */
  select(service: string, route: string): VersionSelection;
  readonly totals: SelectionTotals;
}

/** Every owner of the service may be asked. */
export const UNRESTRICTED_SELECTION: VersionSelection = {
  preferred: undefined,
  fallback: undefined,
  noteOffer: () => {},
  noteUndelivered: () => {},
  noteFailure: () => {},
};

/** What this node has sent under one order, or to one version that nobody ordered. */
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
  let mostNodes = 1;

  const accountOf = (service: string, key: string): Account => {
    const known = accounts.get(service);
    if (known?.key === key) {
      return known;
    }
    const created = { service, key, requests: 0, offers: 0, bad: 0 };
    accounts.set(service, created);
    return created;
  };

  /** A node may start or be away: its part does not grow when others are away. */
  const slackHere = (slack: number): number => {
    const known = nodes();
    if (!Number.isFinite(known)) {
      return 0;
    }
    mostNodes = Math.max(mostNodes, known);
    return (slack * USED_SHARE) / mostNodes;
  };

  const allows = ({ requests, offers }: Account): boolean => {
    const { exposureShare = 0, exposureSlack = 0 } = bounds() ?? {};
    return offers + 1 <= requests * exposureShare * USED_SHARE + slackHere(exposureSlack);
  };

  /** The back ends of the version that are loaded as those of the others are. */
  const loadedOf = (service: string, limited: readonly string[], others: number): Set<string> => {
    const { exposureShare = 0 } = bounds() ?? {};
    const wanted = Math.ceil(exposureShare * USED_SHARE * others);
    return new Set(rankNames(`loaded/${service}`, limited).slice(0, Math.max(MIN_LOADED, wanted)));
  };

  const isTaken = (account: Account, rule: VersionRule, mayBeAny: boolean): NodePredicate => {
    const { limited, others, phase, plan } = rule;
    const served = plan ? [...limited].filter((node) => plan.owners.has(node)) : [...limited];
    if (phase === RolloutPhase.Ramp || phase === RolloutPhase.Shift) {
      return (node) => served.includes(node);
    }
    const offered = mayBeAny ? new Set(served) : loadedOf(account.service, served, others.size);
    // The owners of a plan keep to the bound themselves.
    const isAllowed = () => plan !== undefined || allows(account);
    return (node) => offered.has(node) && account.bad < OWN_BAD_LIMIT && isAllowed();
  };

  /** The rule may change while a request is tried: it is asked for at each offer. */
  const shareOf = (service: string, route: string): VersionSelection => {
    const counted = new Map<string, Account>();
    const draw = random();
    const mayBeAny = random() < SPREAD_SHARE;
    const ruleNow = (): VersionRule | undefined => {
      const rule = rules.ruleFor(service);
      return rule && rule.limited.size > 0 && rule.others.size > 0 ? rule : undefined;
    };
    return {
      get preferred() {
        const rule = ruleNow();
        const { exposureShare = 0 } = bounds() ?? {};
        const looksFirst = rule && draw < lookingShareOf(rule, route, exposureShare);
        return looksFirst ? isTaken(accountOf(service, rule.key), rule, mayBeAny) : undefined;
      },
      get fallback() {
        const rule = ruleNow();
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
        const rule = ruleNow();
        if (rule?.limited.has(node)) {
          const account = accountOf(service, rule.key);
          account.offers += 1;
          counted.set(node, account);
        }
      },
      noteUndelivered: (node) => {
        const account = counted.get(node);
        if (account) {
          account.offers -= 1;
          counted.delete(node);
        }
      },
      noteFailure: (node) => {
        const account = counted.get(node);
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
      return shareOf(service, route);
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

/** In the last step: they take what the version's owners turn away. */
function areOthersOpen({ phase, plan }: Pick<VersionRule, 'phase' | 'plan'>): boolean {
  return phase === RolloutPhase.Shift && plan !== undefined && !plan.isFenced;
}

/** Share of a route's requests that ask the owners of the version first. */
function lookingShareOf(
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
  return phase === RolloutPhase.Watch ? exposureShare * USED_SHARE * LOOKING_FACTOR : 0;
}
