/** Which versions of a service are held back at a node now, and why: by an order, or before one is known. */
import type { Clock } from '../model/clock.js';
import { type RolloutOrder, RolloutPhase, RolloutState } from './rolloutOrder.js';
import type { RolloutPlan } from './rolloutPlan.js';

/** What was read of a service's owners is read again after this time, in milliseconds. */
const SURVEY_LIFETIME_MS = 100;

/** One owner as the shares see it. */
export interface VersionedOwner {
  readonly node: string;
  /** Undefined while it has not been told. */
  readonly version: string | undefined;
}

/** An order as far as this node knows how it goes. */
export interface RolloutView {
  readonly order: RolloutOrder;
  /** Counts the orders that this node has learnt of: the same order made again has another. */
  readonly generation: number;
  readonly phase: RolloutPhase;
  /** Milliseconds since the order, as far as this node knows. */
  readonly ageMs: number;
  /** The decider's; undefined while it has told none lately. */
  readonly plan: RolloutPlan | undefined;
  /** True while neither the store nor the decider has been heard of for too long. */
  readonly isStale: boolean;
}

/** What is needed of the node. */
export interface VersionRulesContext {
  readonly clock: Clock;
  /** Milliseconds within which every node knows of an order. */
  readonly applyMs: () => number;
  readonly owners: (service: string) => readonly VersionedOwner[];
  /** The order of a service, if one stands. */
  readonly view: (service: string) => RolloutView | undefined;
  /** True once the orders have been read. */
  readonly isSynced: () => boolean;
  /** Versions whose order was withdrawn before its end. */
  readonly withdrawn: (service: string) => ReadonlySet<string>;
}

/** The rule that holds for a service now. */
export interface VersionRule {
  /** Another one begins another account of what was sent. */
  readonly key: string;
  readonly phase: RolloutPhase;
  /** The decider's; undefined without an order, and while it has told none lately. */
  readonly plan?: RolloutPlan | undefined;
  /** Nodes whose back ends the rule is about; an unknown version may be the one that is held back. */
  readonly limited: ReadonlySet<string>;
  /** Owners of the service besides; one in neither set has come since and may have any version. */
  readonly others: ReadonlySet<string>;
}

export interface VersionRules {
  /** Undefined while all versions may serve alike. */
  ruleFor(service: string): VersionRule | undefined;
}

type VersionCheck = (version: string | undefined) => boolean;

/** A rule by versions. */
interface Rule {
  readonly key: string;
  readonly phase: RolloutPhase;
  readonly plan?: RolloutPlan | undefined;
  readonly isLimited: VersionCheck;
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
  /** When each version of a service was first seen. */
  const firstSeen = new Map<string, Map<string, number>>();

  const surveyOf = (service: string): Survey => {
    const now = clock.now();
    const known = surveys.get(service);
    if (known && now - known.at < SURVEY_LIFETIME_MS) {
      return known;
    }
    const versionOf = new Map(owners(service).map(({ node, version }) => [node, version]));
    const survey = { at: now, versionOf, versions: new Set(versionOf.values()) };
    surveys.set(service, survey);
    noteVersions(service, survey.versions, now);
    return survey;
  };

  const noteVersions = (service: string, versions: Survey['versions'], now: number): void => {
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

  /** A version that nobody ordered: an order for it may be on its way. */
  const appearing = (service: string, { versions }: Survey): Rule | undefined => {
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

  /** While the orders are not known, the version with the fewest owners may be a bad one. */
  const unlisted = ({ versionOf, versions }: Survey): Rule | undefined => {
    const counted = [...versions]
      .filter((version) => version !== undefined)
      .map((version) => ({
        version,
        count: [...versionOf.values()].filter((each) => each === version).length,
      }))
      .sort((left, right) => right.count - left.count);
    const [most, ...fewer] = counted;
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
    const banned = withdrawn(service);
    if (order) {
      const key = `order ${generation}`;
      const { targetVersion, state } = order;
      const isTarget = (version: string | undefined) =>
        version === targetVersion || (version !== undefined && banned.has(version));
      if (state === RolloutState.Completed || phase === RolloutPhase.Done) {
        const isNew = (version: string | undefined) => version === undefined || isTarget(version);
        return { key, isLimited: isNew, phase: RolloutPhase.Done };
      }
      if (state === RolloutState.RolledBack || phase === RolloutPhase.Halt || isStale) {
        return { key, isLimited: isTarget, phase: RolloutPhase.Halt };
      }
      const mayBeTarget = knowsMost(survey);
      return {
        key,
        isLimited: (version) => (version === undefined ? mayBeTarget : isTarget(version)),
        phase: phase ?? RolloutPhase.Watch,
        plan,
      };
    }
    if (banned.size > 0) {
      const mayBeBanned = knowsMost(survey);
      const isLimited = (version: string | undefined) =>
        version === undefined ? mayBeBanned : banned.has(version);
      return { key: 'withdrawn', isLimited, phase: RolloutPhase.Halt };
    }
    return isSynced() ? appearing(service, survey) : unlisted(survey);
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
 * A node that has just started hears the versions within moments. Were the few owners that it knows
 * first taken for all that may serve, they would get everything.
 */
function knowsMost({ versionOf }: Survey): boolean {
  const unknown = [...versionOf.values()].filter((version) => version === undefined).length;
  return unknown * 2 < versionOf.size;
}
