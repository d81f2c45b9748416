/** One node's view of a roll-out as its decider: the owners' reports, and the next phase. */
import type { Clock } from '../model/clock.js';
import type { RunningRollout } from './rolloutBook.js';
import { decideRollout, type RolloutDecision, type RolloutFacts } from './rolloutDecision.js';
import type { EvidenceNews } from './rolloutNews.js';
import { RolloutPhase } from './rolloutOrder.js';
import { createVersionComparison } from './versionComparison.js';

/** A report that is older, in milliseconds, says nothing of the present. */
const REPORT_LIFETIME_MS = 2_500;

/** What the directory says of the service's owners. */
export interface ServiceOwners {
  /** Nodes whose back ends are up. */
  readonly up: readonly string[];
  /** Milliseconds after which an owner that is not heard of is no longer waited for. */
  readonly contactMs: number;
}

/** A decision and what it was made from. */
export interface RolloutStep extends RolloutDecision {
  readonly facts: RolloutFacts;
  /** Milliseconds since the newest and the oldest of the reports came that it rests on; undefined without any. */
  readonly newestEvidenceMs: number | undefined;
  readonly oldestEvidenceMs: number | undefined;
}

/** Kept for one order. */
export interface RolloutDecider {
  take(report: EvidenceNews): void;
  /** True if most owners have told this node lately. */
  isTold(owners: ServiceOwners): boolean;
  step(rollout: RunningRollout, owners: ServiceOwners): RolloutStep;
  /** Version of each owner that has told it. */
  readonly versions: readonly (readonly [node: string, version: string])[];
}

interface Heard {
  readonly report: EvidenceNews;
  readonly at: number;
}

/** Part of the owners that must have told a node for it to act though it isn't the first by rank. */
const TOLD_SHARE = 0.5;

/** In the last step all that is new goes to the version. */
function areOthersServing({ phase }: RunningRollout): boolean {
  return phase !== RolloutPhase.Shift && phase !== RolloutPhase.Done;
}

export function createRolloutDecider(clock: Clock, targetVersion: string): RolloutDecider {
  const heard = new Map<string, Heard>();
  const comparison = createVersionComparison();
  /** Since when reports have come. */
  let begunAt: number | undefined;

  const heardLately = (): Heard[] =>
    [...heard.values()].filter(({ at }) => clock.now() - at <= REPORT_LIFETIME_MS);

  const lately = (): EvidenceNews[] => heardLately().map(({ report }) => report);

  /** Owners that are up and of whom it isn't known that they run nothing on another version. */
  const busyOthers = (
    reports: readonly EvidenceNews[],
    { up, contactMs }: ServiceOwners,
  ): number => {
    const now = clock.now();
    const reporting = new Set(reports.map(({ node }) => node));
    const awaited = up.filter((node) => {
      const heardAt = heard.get(node)?.at ?? begunAt ?? now;
      return !reporting.has(node) && now - heardAt < contactMs;
    });
    const busy = reports.filter(
      ({ version, readyMs, isFenced, load }) =>
        version !== targetVersion && (load > 0 || (readyMs !== undefined && !isFenced)),
    );
    return awaited.length + busy.length;
  };

  const factsOf = (
    { phase, phaseAgeMs, ageMs, order }: RunningRollout,
    owners: ServiceOwners,
  ): RolloutFacts => {
    const reports = lately();
    const targets = reports.filter(
      ({ version, readyMs }) => version === targetVersion && readyMs !== undefined,
    );
    const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
    return {
      phase,
      phaseAgeMs,
      ageMs,
      durationMs: order.durationMs,
      targetAgeMs:
        targets.length === 0 ? undefined : Math.max(...targets.map(({ readyMs }) => readyMs ?? 0)),
      comparison: comparison.summary,
      owners: owners.up.length,
      reporting: reports.length,
      targets: targets.length,
      targetSlots: sum(targets.map(({ slots }) => slots)),
      otherSlots: sum(
        reports
          .filter(({ version, readyMs }) => version !== targetVersion && readyMs !== undefined)
          .map(({ slots }) => slots),
      ),
      demand: sum(reports.map(({ load }) => load)),
      busyOthers: busyOthers(reports, owners),
    };
  };

  return {
    take: (report) => {
      begunAt ??= clock.now();
      heard.set(report.node, { report, at: clock.now() });
      if (report.version !== undefined) {
        const isTarget = report.version === targetVersion;
        comparison.take({ node: report.node, isTarget, counts: report.counts });
      }
    },
    isTold: ({ up }) => up.length > 0 && lately().length >= up.length * TOLD_SHARE,
    step: (rollout, owners) => {
      comparison.step(areOthersServing(rollout));
      const facts = factsOf(rollout, owners);
      const agesMs = heardLately().map(({ at }) => clock.now() - at);
      return {
        ...decideRollout(facts),
        facts,
        newestEvidenceMs: agesMs.length > 0 ? Math.min(...agesMs) : undefined,
        oldestEvidenceMs: agesMs.length > 0 ? Math.max(...agesMs) : undefined,
      };
    },
    get versions() {
      return lately().flatMap(({ node, version }) =>
        version === undefined ? [] : [[node, version] as const],
      );
    },
  };
}
