/**
 * What has reached a service since its order, and what reaches it now, by route: from the whole counts that
 * its owners report. Times are those at which the reports were made, not those at which they came.
 */
import type { EvidenceReport } from './rolloutMessages.js';
import type { RolloutPhase } from './rolloutOrder.js';
import { countFrom, type RouteCounts } from './runCounts.js';

/**
 * Rates are taken over this time before an owner's newest report, in milliseconds: the same for all owners, so
 * that requests which move from one to another are counted once.
 */
const RATE_MS = 2_000;

/** They count until the owner has not been heard of for so long, in milliseconds. */
const RATE_LIFETIME_MS = 2_500;

const MILLISECONDS_PER_SECOND = 1_000;

/** One route of the service. */
export interface RouteTraffic {
  readonly route: string;
  /** Requests that back ends have ended since the order, as far as told. */
  readonly requests: number;
  readonly perSecond: number;
  /** Of the target version: ended, those of them that failed, and those that ended in the present phase. */
  readonly runs: number;
  readonly failed: number;
  readonly phaseRuns: number;
}

export interface ServiceTraffic {
  /** A report, newer than those of the same count before; `now` is a steady time in milliseconds. */
  addReport(report: EvidenceReport, isTarget: boolean, now: number): void;
  /** The routes that have had requests; runs of the phase count if their owner was in it as it told them. */
  routes(phase: RolloutPhase, now: number): readonly RouteTraffic[];
}

/** Ended requests of one count by route. */
type Totals = ReadonlyMap<string, { readonly ended: number; readonly failed: number }>;

interface Told {
  readonly reportedAtMs: number;
  readonly totals: Totals;
}

/** One owner's count of one version. */
interface Count {
  readonly isTarget: boolean;
  /** The newest reports, the oldest first; one of them from before the time of the rate. */
  told: Told[];
  heardAt: number;
  phase: RolloutPhase;
  /** What was counted before the owner was in its phase. */
  before: Totals;
}

const NOTHING: Totals = new Map();

export function createServiceTraffic(): ServiceTraffic {
  const counts = new Map<string, Count>();

  const addReport = (report: EvidenceReport, isTarget: boolean, now: number): void => {
    const { node, countId, version, phase, ageMs } = report;
    const key = `${node} ${countId} ${version}`;
    const totals = totalsOf(report);
    const known = counts.get(key);
    if (!known) {
      const told = [{ reportedAtMs: ageMs, totals }];
      counts.set(key, { isTarget, told, heardAt: now, phase, before: totals });
      return;
    }
    if (known.phase !== phase) {
      known.phase = phase;
      known.before = known.told.at(-1)?.totals ?? NOTHING;
    }
    const isOld = (_: Told, index: number, all: readonly Told[]) =>
      (all[index + 1]?.reportedAtMs ?? Number.POSITIVE_INFINITY) <= ageMs - RATE_MS;
    const told = [...known.told, { reportedAtMs: ageMs, totals }];
    known.told = told.filter((each, index) => !isOld(each, index, told));
    known.heardAt = now;
  };

  const trafficOf = (route: string, phase: RolloutPhase, now: number): RouteTraffic => {
    const sum = { requests: 0, perSecond: 0, runs: 0, failed: 0, phaseRuns: 0 };
    for (const count of counts.values()) {
      const { ended = 0, failed = 0 } = count.told.at(-1)?.totals.get(route) ?? {};
      sum.requests += ended;
      sum.perSecond += now - count.heardAt <= RATE_LIFETIME_MS ? rateOf(count, route) : 0;
      if (count.isTarget) {
        sum.runs += ended;
        sum.failed += failed;
        sum.phaseRuns += count.phase === phase ? ended - endedIn(count.before, route) : 0;
      }
    }
    return { route, ...sum };
  };

  return {
    addReport,
    routes: (phase, now) => {
      const names = new Set(
        [...counts.values()].flatMap(({ told }) => [...(told.at(-1)?.totals.keys() ?? [])]),
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

/** Requests a second before the newest report; a count begins with the order. */
function rateOf({ told }: Count, route: string): number {
  const newest = told.at(-1);
  if (!newest || newest.reportedAtMs <= 0) {
    return 0;
  }
  const passedMs = Math.min(RATE_MS, newest.reportedAtMs);
  const before = endedAt(told, route, newest.reportedAtMs - passedMs);
  return ((endedIn(newest.totals, route) - before) * MILLISECONDS_PER_SECOND) / passedMs;
}

/** What had ended at a time, between two reports. */
function endedAt(told: readonly Told[], route: string, atMs: number): number {
  const later = told.find(({ reportedAtMs }) => reportedAtMs >= atMs) as Told;
  const earlier = told.filter(({ reportedAtMs }) => reportedAtMs < atMs).at(-1);
  const from = {
    ended: earlier ? endedIn(earlier.totals, route) : 0,
    at: earlier?.reportedAtMs ?? 0,
  };
  const spanMs = later.reportedAtMs - from.at;
  const part = spanMs > 0 ? (atMs - from.at) / spanMs : 1;
  return from.ended + (endedIn(later.totals, route) - from.ended) * part;
}
