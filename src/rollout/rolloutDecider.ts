/** One node's view of a roll-out as its decider: the owners' reports, and the next phase. */
import type { Clock } from '../model/clock.js';
import type { ExposureBounds } from './exposure.js';
import { createExposureLimits, type OwnerLimit } from './exposureLimits.js';
import { allowanceFor, canFenceOthers, isUnlimited, sharesFor } from './rolloutAllowance.js';
import { decideRollout, type RolloutDecision } from './rolloutDecision.js';
import type { RolloutFacts } from './rolloutFacts.js';
import type { EvidenceReport } from './rolloutMessages.js';
import { RolloutPhase } from './rolloutOrder.js';
import type { RolloutPlan } from './rolloutPlan.js';
import type { RunningRollout } from './rolloutTracker.js';
import { createServiceTraffic } from './serviceTraffic.js';
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

/** What the decider knows of itself. */
export interface DeciderEnvironment {
  readonly bounds: ExposureBounds;
  /** Milliseconds that a call to the store takes. */
  readonly storeMs: number;
}

/** A decision and what it was made from. */
export interface RolloutStep extends RolloutDecision {
  readonly facts: RolloutFacts;
  readonly plan: RolloutPlan;
  /** Of the owners in the plan. */
  readonly limits: readonly OwnerLimit[];
  readonly isUnlimited: boolean;
  /** Milliseconds since the newest and the oldest of the reports came that it rests on; undefined without any. */
  readonly newestEvidenceMs: number | undefined;
  readonly oldestEvidenceMs: number | undefined;
}

/** Kept for one order. */
export interface RolloutDecider {
  /** A report of an order that is so old, in milliseconds, as far as any node knows. */
  addReport(report: EvidenceReport, orderAgeMs: number): void;
  /** True if most owners have told this node lately. */
  hasReportQuorum(owners: ServiceOwners): boolean;
  step(rollout: RunningRollout, owners: ServiceOwners, outside: DeciderEnvironment): RolloutStep;
  /** Version of each owner that has told it. */
  readonly versions: readonly (readonly [node: string, version: string])[];
}

interface Heard {
  readonly report: EvidenceReport;
  readonly at: number;
  /** How much younger the order was when it was made, in milliseconds, or its maker has learnt of it later. */
  readonly lateMs: number;
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
  const traffic = createServiceTraffic();
  const limits = createExposureLimits();
  /** The newest report of each count. */
  const sequences = new Map<string, number>();
  /** Once the others take nothing new, it stays so to the end of the last step. */
  let isFenced = false;
  /** Since when reports have come. */
  let begunAt: number | undefined;

  const heardLately = (): Heard[] =>
    [...heard.values()].filter(({ at }) => clock.now() - at <= REPORT_LIFETIME_MS);

  const lately = (): EvidenceReport[] => heardLately().map(({ report }) => report);

  /** Owners that are up and of whom it isn't known that they run nothing on another version. */
  const busyOthers = (
    reports: readonly EvidenceReport[],
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

  /** Reports of owners whose back end has the version and is ready. */
  const targetsOf = (reports: readonly EvidenceReport[]): EvidenceReport[] =>
    reports.filter(({ version, readyMs }) => version === targetVersion && readyMs !== undefined);

  /** Those that are to get requests: one that may be a machine in trouble shows nothing of the version. */
  const planned = (targets: readonly string[]): ReadonlySet<string> => {
    const { suspect } = comparison.summary;
    const others = targets.filter((node) => node !== suspect);
    return new Set(others.length > 0 ? others : targets);
  };

  const factsOf = (
    { phase, phaseAgeMs, ageMs, order }: RunningRollout,
    owners: ServiceOwners,
    { bounds, storeMs }: DeciderEnvironment,
  ): RolloutFacts => {
    const reports = lately();
    const targets = targetsOf(reports);
    const routes = traffic.routes(phase, clock.now());
    const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
    return {
      phase,
      phaseAgeMs,
      ageMs,
      durationMs: order.durationMs,
      storeMs,
      reportMs: medianOf(heardLately().map(({ lateMs }) => lateMs)),
      othersEndMs: comparison.othersEndMs,
      routes,
      exposure: {
        ...bounds,
        requests: sum(routes.map(({ requests }) => requests)),
        taken: limits.taken,
        perSecond: sum(routes.map(({ perSecond }) => perSecond)),
      },
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
      isFenced,
      demand: sum(reports.map(({ load }) => load)),
      busyOthers: busyOthers(reports, owners),
    };
  };

  return {
    addReport: (report, orderAgeMs) => {
      const now = clock.now();
      const { node, countId, sequence, version, counts, ageMs, phase } = report;
      const key = `${node} ${countId}`;
      // A report may overtake an earlier one: whole counts that go back would be counted twice.
      if (sequence <= (sequences.get(key) ?? -1)) {
        return;
      }
      sequences.set(key, sequence);
      begunAt ??= now;
      heard.set(node, { report, at: now, lateMs: Math.max(0, orderAgeMs - ageMs) });
      if (version === undefined) {
        return;
      }
      const isTarget = version === targetVersion;
      const isCompared = phase !== RolloutPhase.Shift;
      comparison.addReport({ node, countId, isTarget, counts, reportedAtMs: ageMs, isCompared });
      traffic.addReport(report, isTarget, now);
      if (isTarget) {
        limits.addReport(report);
      }
    },
    hasReportQuorum: ({ up }) => up.length > 0 && lately().length >= up.length * TOLD_SHARE,
    step: (rollout, owners, outside) => {
      comparison.step(areOthersServing(rollout), clock.now());
      const facts = factsOf(rollout, owners, outside);
      const decision = decideRollout(facts);
      const { phase } = decision;
      const isInLastStep = phase === RolloutPhase.Shift || phase === RolloutPhase.Done;
      isFenced = isInLastStep && (isFenced || canFenceOthers(phase, facts));
      const agesMs = heardLately().map(({ at }) => clock.now() - at);
      const nodes = planned(targetsOf(lately()).map(({ node }) => node));
      limits.raiseLimits(nodes, allowanceFor(decision.phase, facts));
      return {
        ...decision,
        facts,
        plan: { shares: sharesFor(decision.phase, facts), owners: nodes, isFenced },
        limits: limits.limitsOf(nodes),
        isUnlimited: isUnlimited(decision.phase, facts),
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

/** 0 without any. */
function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
