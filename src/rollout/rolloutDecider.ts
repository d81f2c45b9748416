/** Decides the next phase of one roll-out, and its plan and limits, from the owners' reports. */
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

/** Milliseconds after which a report is too old to count as current. */
const REPORT_LIFETIME_MS = 2_500;

/** Owners of the service, from the directory. */
export interface ServiceOwners {
  /** Nodes whose back ends are up. */
  readonly up: readonly string[];
  /** Milliseconds without a report after which an owner is no longer waited for. */
  readonly contactMs: number;
}

/** Properties of the node that runs the decider. */
export interface DeciderEnvironment {
  readonly bounds: ExposureBounds;
  /** Milliseconds that a call to the store takes. */
  readonly storeMs: number;
}

/** A decision, the facts behind it, and the plan and limits that follow from it. */
export interface RolloutStep extends RolloutDecision {
  readonly facts: RolloutFacts;
  readonly plan: RolloutPlan;
  /** Limits of the owners in the plan. */
  readonly limits: readonly OwnerLimit[];
  readonly isUnlimited: boolean;
  /** Milliseconds since the newest of the current reports arrived; undefined if there are none. */
  readonly newestEvidenceMs: number | undefined;
  /** Milliseconds since the oldest of the current reports arrived; undefined if there are none. */
  readonly oldestEvidenceMs: number | undefined;
}

/** The decider of one order. */
export interface RolloutDecider {
  /**
   * Adds a report. `orderAgeMs` is the age of the order in milliseconds, the greatest that any node
   * has reported.
   */
  addReport(report: EvidenceReport, orderAgeMs: number): void;
  /** True if at least half of the owners that are up have reported to this node recently. */
  hasReportQuorum(owners: ServiceOwners): boolean;
  step(rollout: RunningRollout, owners: ServiceOwners, outside: DeciderEnvironment): RolloutStep;
  /** Version of each owner that has reported one recently. */
  readonly versions: readonly (readonly [node: string, version: string])[];
}

interface ReceivedReport {
  readonly report: EvidenceReport;
  readonly at: number;
  /**
   * Milliseconds by which the age of the order in the report is less than the greatest age that any
   * node has reported: because the report took that time to arrive, or because its owner learned of
   * the order later.
   */
  readonly lateMs: number;
}

/**
 * Share of the owners that must have reported to a node for it to lead although it is not first by
 * rank.
 */
const LEADER_QUORUM_SHARE = 0.5;

/**
 * False from the shift on, when all new requests are meant for the version. The others may still
 * get some in the shift until they are fenced.
 */
function areOthersServing({ phase }: RunningRollout): boolean {
  return phase !== RolloutPhase.Shift && phase !== RolloutPhase.Done;
}

export function createRolloutDecider(clock: Clock, targetVersion: string): RolloutDecider {
  /** The newest report of each owner. */
  const received = new Map<string, ReceivedReport>();
  const comparison = createVersionComparison();
  const traffic = createServiceTraffic();
  const limits = createExposureLimits();
  /** Sequence number of the newest report of each count. */
  const sequences = new Map<string, number>();
  /**
   * True once the plan tells the others to accept nothing new; stays true while the phase is Shift
   * or Done.
   */
  let isFenced = false;
  /** Time at which the first report arrived. */
  let begunAt: number | undefined;

  const currentlyReceived = (): ReceivedReport[] =>
    [...received.values()].filter(({ at }) => clock.now() - at <= REPORT_LIFETIME_MS);

  const currentReports = (): EvidenceReport[] => currentlyReceived().map(({ report }) => report);

  /**
   * Number of owners that are up and may still run requests on another version. An owner whose
   * report is missing counts until its contact time is over.
   */
  const busyOthers = (
    reports: readonly EvidenceReport[],
    { up, contactMs }: ServiceOwners,
  ): number => {
    const now = clock.now();
    const reporting = new Set(reports.map(({ node }) => node));
    const awaited = up.filter((node) => {
      const lastContactAt = received.get(node)?.at ?? begunAt ?? now;
      return !reporting.has(node) && now - lastContactAt < contactMs;
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

  /**
   * Owners that are to receive requests. The suspect is left out unless it is the only one: its
   * machine may be faulty, and its results would then show nothing about the version.
   */
  const ownersToPlan = (targets: readonly string[]): ReadonlySet<string> => {
    const { suspect } = comparison.summary;
    const others = targets.filter((node) => node !== suspect);
    return new Set(others.length > 0 ? others : targets);
  };

  const factsOf = (
    { phase, phaseAgeMs, ageMs, order }: RunningRollout,
    owners: ServiceOwners,
    { bounds, storeMs }: DeciderEnvironment,
  ): RolloutFacts => {
    const reports = currentReports();
    const targets = targetsOf(reports);
    const routes = traffic.routes(phase, clock.now());
    const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
    return {
      phase,
      phaseAgeMs,
      ageMs,
      durationMs: order.durationMs,
      storeMs,
      reportMs: medianOf(currentlyReceived().map(({ lateMs }) => lateMs)),
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
      // A report may overtake an earlier one. As reports hold whole counts, adding the older one
      // after the newer one would count requests twice.
      if (sequence <= (sequences.get(key) ?? -1)) {
        return;
      }
      sequences.set(key, sequence);
      begunAt ??= now;
      received.set(node, { report, at: now, lateMs: Math.max(0, orderAgeMs - ageMs) });
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
    hasReportQuorum: ({ up }) =>
      up.length > 0 && currentReports().length >= up.length * LEADER_QUORUM_SHARE,
    step: (rollout, owners, outside) => {
      comparison.step(areOthersServing(rollout), clock.now());
      const facts = factsOf(rollout, owners, outside);
      const decision = decideRollout(facts);
      const { phase } = decision;
      const isShiftOrDone = phase === RolloutPhase.Shift || phase === RolloutPhase.Done;
      isFenced = isShiftOrDone && (isFenced || canFenceOthers(phase, facts));
      const agesMs = currentlyReceived().map(({ at }) => clock.now() - at);
      const nodes = ownersToPlan(targetsOf(currentReports()).map(({ node }) => node));
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
      return currentReports().flatMap(({ node, version }) =>
        version === undefined ? [] : [[node, version] as const],
      );
    },
  };
}

/** The median; 0 for no values. */
function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
