/**
 * Decides which versions of a service a node limits at present: by the order for the service, or,
 * before the node has one, by how new or how rare a version is.
 */
import type { Clock } from '../model/clock.js';
import { type RolloutOrder, RolloutPhase, RolloutState } from './rolloutOrder.js';
import type { RolloutPlan } from './rolloutPlan.js';

/** Milliseconds after which the owners of a service are read again. */
const SURVEY_LIFETIME_MS = 100;

/** An owner of the service and the version of its back end. */
export interface VersionedOwner {
  readonly node: string;
  /** Undefined until the owner has announced it. */
  readonly version: string | undefined;
}

/** This node's view of an order. */
export interface RolloutView {
  readonly order: RolloutOrder;
  /**
   * Number of the order, counted by this node as it learns of them; an identical order that is made
   * again gets a new one.
   */
  readonly generation: number;
  readonly phase: RolloutPhase;
  /** Milliseconds since the order was made, by this node's information. */
  readonly ageMs: number;
  /** The leader's plan; undefined while none has arrived recently. */
  readonly plan: RolloutPlan | undefined;
  /** True while nothing has arrived from either the store or the leader for too long. */
  readonly isStale: boolean;
}

/** Dependencies on the node. */
export interface VersionRulesContext {
  readonly clock: Clock;
  /** Milliseconds within which an order reaches every node. */
  readonly applyMs: () => number;
  readonly owners: (service: string) => readonly VersionedOwner[];
  /** The view of a service's order; undefined if there is no order. */
  readonly view: (service: string) => RolloutView | undefined;
  /** True once the orders have been read from the store. */
  readonly isSynced: () => boolean;
  /** Versions whose orders were removed or replaced without being completed. */
  readonly withdrawn: (service: string) => ReadonlySet<string>;
}

/** The rule in force for a service at present. */
export interface VersionRule {
  /** When it changes, the counts of requests sent to the version start from zero. */
  readonly key: string;
  readonly phase: RolloutPhase;
  /** The leader's plan; undefined without an order, or while none has arrived recently. */
  readonly plan?: RolloutPlan | undefined;
  /**
   * Nodes whose back ends the rule applies to: the phase decides what they receive, from nothing in
   * Halt to all requests in Done. Back ends of unknown version may be among them.
   */
  readonly limited: ReadonlySet<string>;
  /**
   * All other owners of the service. An owner in neither set has appeared since the owners were
   * last read, up to SURVEY_LIFETIME_MS ago, and may have any version.
   */
  readonly others: ReadonlySet<string>;
}

export interface VersionRules {
  /** Undefined while no version is limited. */
  ruleFor(service: string): VersionRule | undefined;
}

type VersionPredicate = (version: string | undefined) => boolean;

/** A rule by version, before it is applied to the owners. */
interface Rule {
  readonly key: string;
  readonly phase: RolloutPhase;
  readonly plan?: RolloutPlan | undefined;
  readonly isLimited: VersionPredicate;
}

/** The owners of a service by version. */
interface Survey {
  readonly at: number;
  readonly versionOf: ReadonlyMap<string, string | undefined>;
  readonly versions: ReadonlySet<string | undefined>;
}

export function createVersionRules(context: VersionRulesContext): VersionRules {
  const { clock, applyMs, owners, view, isSynced, withdrawn } = context;
  const surveys = new Map<string, Survey>();
  /** By service and version, the time at which the version was first seen. */
  const firstSeen = new Map<string, Map<string, number>>();

  const surveyOf = (service: string): Survey => {
    const now = clock.now();
    const cached = surveys.get(service);
    if (cached && now - cached.at < SURVEY_LIFETIME_MS) {
      return cached;
    }
    const versionOf = new Map(owners(service).map(({ node, version }) => [node, version]));
    const survey = { at: now, versionOf, versions: new Set(versionOf.values()) };
    surveys.set(service, survey);
    recordVersions(service, survey.versions, now);
    return survey;
  };

  const recordVersions = (service: string, versions: Survey['versions'], now: number): void => {
    const seen = firstSeen.get(service) ?? new Map<string, number>();
    firstSeen.set(service, seen);
    for (const version of seen.keys()) {
      if (!versions.has(version)) {
        seen.delete(version);
      }
    }
    for (const version of versions) {
      if (version !== undefined && !seen.has(version)) {
        seen.set(version, now);
      }
    }
  };

  /**
   * Limits versions that appeared recently without an order: an order for them may not have reached
   * this node yet.
   */
  const newVersionsRule = (service: string, { versions }: Survey): Rule | undefined => {
    const seen = [...(firstSeen.get(service) ?? [])];
    if (versions.size < 2 || seen.length < 2) {
      return undefined;
    }
    const oldest = Math.min(...seen.map(([, at]) => at));
    const newest = seen.filter(([, at]) => at > oldest && clock.now() - at < applyMs());
    const names = new Set(newest.map(([version]) => version));
    return names.size === 0
      ? undefined
      : {
          key: `new ${[...names].join(' ')}`,
          isLimited: (version) => version !== undefined && names.has(version),
          phase: RolloutPhase.Watch,
        };
  };

  /**
   * Limits all but the version with the most owners. Applies until the orders have been read: any
   * version with fewer owners may be a bad one.
   */
  const minorityRule = ({ versionOf, versions }: Survey): Rule | undefined => {
    const byOwners = [...versions]
      .filter((version) => version !== undefined)
      .map((version) => ({
        version,
        count: [...versionOf.values()].filter((each) => each === version).length,
      }))
      .sort((left, right) => right.count - left.count);
    const [most, ...fewer] = byOwners;
    return most && fewer.length > 0
      ? {
          key: 'unlisted',
          isLimited: (version) => version !== most.version,
          phase: RolloutPhase.Watch,
        }
      : undefined;
  };

  const ruleOf = (service: string, survey: Survey): Rule | undefined => {
    const { order, generation, phase, plan, isStale } = view(service) ?? {};
    const withdrawnVersions = withdrawn(service);
    if (order) {
      const key = `order ${generation}`;
      const { targetVersion, state } = order;
      const wasOrdered = (version: string | undefined) =>
        version === targetVersion || (version !== undefined && withdrawnVersions.has(version));
      if (state === RolloutState.Completed || phase === RolloutPhase.Done) {
        const isUnknownOrOrdered = (version: string | undefined) =>
          version === undefined || wasOrdered(version);
        return { key, isLimited: isUnknownOrOrdered, phase: RolloutPhase.Done };
      }
      if (state === RolloutState.RolledBack || phase === RolloutPhase.Halt || isStale) {
        return { key, isLimited: wasOrdered, phase: RolloutPhase.Halt };
      }
      const mayBeTarget = areMostVersionsKnown(survey);
      return {
        key,
        isLimited: (version) => (version === undefined ? mayBeTarget : wasOrdered(version)),
        phase: phase ?? RolloutPhase.Watch,
        plan,
      };
    }
    if (withdrawnVersions.size > 0) {
      const mayBeWithdrawn = areMostVersionsKnown(survey);
      const isLimited = (version: string | undefined) =>
        version === undefined ? mayBeWithdrawn : withdrawnVersions.has(version);
      return { key: 'withdrawn', isLimited, phase: RolloutPhase.Halt };
    }
    return isSynced() ? newVersionsRule(service, survey) : minorityRule(survey);
  };

  return {
    ruleFor: (service) => {
      const survey = surveyOf(service);
      const rule = ruleOf(service, survey);
      if (!rule) {
        return undefined;
      }
      const { key, phase, plan, isLimited } = rule;
      const limited = new Set<string>();
      const others = new Set<string>();
      for (const [node, version] of survey.versionOf) {
        (isLimited(version) ? limited : others).add(node);
      }
      return { key, phase, plan, limited, others };
    },
  };
}

/**
 * True if the versions of most owners are known. Until then, neither a running order nor the rule
 * for withdrawn versions limits owners of unknown version: a node that has just started receives
 * the versions within moments, and if only the few owners known by then could serve, they would get
 * every request.
 */
function areMostVersionsKnown({ versionOf }: Survey): boolean {
  const unknown = [...versionOf.values()].filter((version) => version === undefined).length;
  return unknown * 2 < versionOf.size;
}
