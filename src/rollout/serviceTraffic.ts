/**
 * Computes by route the requests to a service since its order and their present rate, from the
 * total counts that its owners report. Times are those at which reports were made, not those at
 * which they arrived.
 */
import type { EvidenceReport } from './rolloutMessages.js';
import type { RolloutPhase } from './rolloutOrder.js';
import { countFrom, type RouteCounts } from './runCounts.js';

/**
 * Milliseconds before an owner's newest report over which its rate is computed. The time is the
 * same for all owners, so that requests which move from one owner to another are counted once.
 */
const RATE_MS = 2_000;

/** Milliseconds without a report after which an owner's rate no longer counts. */
const RATE_LIFETIME_MS = 2_500;

const MILLISECONDS_PER_SECOND = 1_000;

/** Traffic of one route of the service. */
export interface RouteTraffic {
  readonly route: string;
  /** Requests that have ended at back ends since the order, by the reports so far. */
  readonly requests: number;
  readonly perSecond: number;
  /** Requests that have ended at the target version. */
  readonly runs: number;
  /** Requests of these that failed. */
  readonly failed: number;
  /** Requests of these that ended in the present phase. */
  readonly phaseRuns: number;
}

export interface ServiceTraffic {
  /**
   * Adds a report, newer than earlier ones of the same count; `now` is monotonic, in milliseconds.
   */
  addReport(report: EvidenceReport, isTarget: boolean, now: number): void;
  /**
   * The routes that have had requests. Runs count towards the phase if their owner was in it when
   * it reported them.
   */
  routes(phase: RolloutPhase, now: number): readonly RouteTraffic[];
}

/** Ended requests of one count by route. */
type Totals = ReadonlyMap<string, { readonly ended: number; readonly failed: number }>;

interface TimedTotals {
  readonly reportedAtMs: number;
  readonly totals: Totals;
}

/** One owner's count of one version. */
interface Count {
  readonly isTarget: boolean;
  /** The newest reports, the oldest first; one of them is older than the time of the rate. */
  reports: TimedTotals[];
  receivedAt: number;
  phase: RolloutPhase;
  /** Totals before the owner entered its phase. */
  beforePhase: Totals;
}

const NO_TOTALS: Totals = new Map();

export function createServiceTraffic(): ServiceTraffic {
  const counts = new Map<string, Count>();

  const addReport = (report: EvidenceReport, isTarget: boolean, now: number): void => {
    const { node, countId, version, phase, ageMs } = report;
    const key = `${node} ${countId} ${version}`;
    const totals = totalsOf(report);
    const existing = counts.get(key);
    if (!existing) {
      const reports = [{ reportedAtMs: ageMs, totals }];
      counts.set(key, { isTarget, reports, receivedAt: now, phase, beforePhase: totals });
      return;
    }
    if (existing.phase !== phase) {
      existing.phase = phase;
      existing.beforePhase = existing.reports.at(-1)?.totals ?? NO_TOTALS;
    }
    const isOld = (_: TimedTotals, index: number, all: readonly TimedTotals[]) =>
      (all[index + 1]?.reportedAtMs ?? Number.POSITIVE_INFINITY) <= ageMs - RATE_MS;
    const reports = [...existing.reports, { reportedAtMs: ageMs, totals }];
    existing.reports = reports.filter((each, index) => !isOld(each, index, reports));
    existing.receivedAt = now;
  };

  const trafficOf = (route: string, phase: RolloutPhase, now: number): RouteTraffic => {
    const sum = { requests: 0, perSecond: 0, runs: 0, failed: 0, phaseRuns: 0 };
    for (const count of counts.values()) {
      const { ended = 0, failed = 0 } = count.reports.at(-1)?.totals.get(route) ?? {};
      sum.requests += ended;
      sum.perSecond += now - count.receivedAt <= RATE_LIFETIME_MS ? rateOf(count, route) : 0;
      if (count.isTarget) {
        sum.runs += ended;
        sum.failed += failed;
        sum.phaseRuns += count.phase === phase ? ended - endedIn(count.beforePhase, route) : 0;
      }
    }
    return { route, ...sum };
  };

  return {
    addReport,
    routes: (phase, now) => {
      const names = new Set(
        [...counts.values()].flatMap(({ reports }) => [...(reports.at(-1)?.totals.keys() ?? [])]),
      );
      return [...names].map((route) => trafficOf(route, phase, now));
    },
  };
}

function totalsOf({ counts }: EvidenceReport): Totals {
  return new Map([...counts].map(([route, each]) => [route, totalOf(each)]));
}

function totalOf({ answered, failed, crashes, cancellations }: RouteCounts) {
  return {
    ended: answered + failed + crashes + countFrom(cancellations, 0),
    failed: failed + crashes,
  };
}

function endedIn(totals: Totals, route: string): number {
  return totals.get(route)?.ended ?? 0;
}

/** Requests per second before the newest report; counts begin with the order. */
function rateOf({ reports }: Count, route: string): number {
  const newest = reports.at(-1);
  if (!newest || newest.reportedAtMs <= 0) {
    return 0;
  }
  const passedMs = Math.min(RATE_MS, newest.reportedAtMs);
  const before = endedAt(reports, route, newest.reportedAtMs - passedMs);
  return ((endedIn(newest.totals, route) - before) * MILLISECONDS_PER_SECOND) / passedMs;
}

/** Requests that had ended at a time, interpolated between the reports before and after it. */
function endedAt(reports: readonly TimedTotals[], route: string, atMs: number): number {
  const later = reports.find(({ reportedAtMs }) => reportedAtMs >= atMs) as TimedTotals;
  const earlier = reports.filter(({ reportedAtMs }) => reportedAtMs < atMs).at(-1);
  const from = {
    ended: earlier ? endedIn(earlier.totals, route) : 0,
    at: earlier?.reportedAtMs ?? 0,
  };
  const spanMs = later.reportedAtMs - from.at;
  const part = spanMs > 0 ? (atMs - from.at) / spanMs : 1;
  return from.ended + (endedIn(later.totals, route) - from.ended) * part;
}
