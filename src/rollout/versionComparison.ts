/**
 * Compares the back ends of the target version with the others of the service, on the same routes over
 * the same time: failures, lost connections and durations, each route by itself, and the first two for
 * all routes together as well. While the others get nothing there is nothing to compare with: what is
 * slow then, or fails now and then, may be the load or the machines. Only many failures or many lost
 * connections speak against the version at such a time.
 */
import { createFailureCounts } from './failureCounts.js';
import { type CountsByRoute, countsSince, type RouteCounts } from './runCounts.js';
import {
  crashesOf,
  failuresOf,
  nearMaxDurationMs,
  slowOf,
  slowThresholdOf,
} from './runOutcomes.js';
import {
  CRASH_LEVELS,
  createSequentialTest,
  FAILURE_LEVELS,
  GROSS_FAILURE_LEVELS,
  type Outcomes,
  type SequentialTest,
  SLOWNESS_LEVELS,
  type TestLevels,
  type TestStep,
} from './sequentialTest.js';

const ALL_ROUTES = '*';

/** What is to be told of the comparison. */
export interface ComparisonSummary {
  /** Requests that the target version has finished, and those of them that failed; a crash counts as one. */
  readonly finished: number;
  readonly failed: number;
  /** Of the test that speaks most against the version. */
  readonly weight: number;
  readonly weightWithoutOne: number;
  readonly measure: string;
  readonly route: string;
  readonly isBad: boolean;
  /** What speaks against more for the version though it is not bad yet; undefined if nothing does. */
  readonly doubt: string | undefined;
  /** The same by what the others could be compared with, and not by a machine in trouble. */
  readonly comparedDoubt: string | undefined;
  /** The back end without which nothing would speak against the version: a machine in trouble, maybe. */
  readonly suspect: string | undefined;
  /** How often a version that fails a tenth more than the others on a route shows so few failures. */
  readonly chanceIfBad: number;
}

/** One report: the whole counts of one back end. */
export interface CountsReport {
  readonly node: string;
  /** Another one when they begin anew. */
  readonly countId: string;
  readonly isTarget: boolean;
  /** Age of the order as it was made, in milliseconds. */
  readonly reportedAtMs: number;
  /** False while the others get nothing: what fails at such a moment may fail everywhere. */
  readonly isCompared: boolean;
  readonly counts: CountsByRoute;
}

/** Kept by the decider for each order. */
export interface VersionComparison {
  /** Takes a report; it counts with the next step. */
  addReport(report: CountsReport): void;
  /**
   * Compares what has come since the last step, at a steady time in milliseconds; `areOthersServing` while they
   * get requests as well.
   */
  step(areOthersServing: boolean, now: number): void;
  readonly summary: ComparisonSummary;
  /** Time in milliseconds within which nearly all requests end at the others; 0 while nothing is known. */
  readonly othersEndMs: number;
}

interface NamedTest {
  readonly measure: string;
  readonly route: string;
  readonly test: SequentialTest;
}

interface RouteStep {
  readonly target: Map<string, RouteCounts[]>;
  readonly others: RouteCounts[];
}

/** When a step is made, and whether the others get requests as well. */
interface Moment {
  readonly now: number;
  readonly areOthersServing: boolean;
}

export function createVersionComparison(): VersionComparison {
  /** The newest whole counts, by node, count, version and route. */
  const newest = new Map<string, RouteCounts>();
  const failures = createFailureCounts();
  /** Those among them that the others could be compared with. */
  const comparedFailures = createFailureCounts();
  const tests = new Map<string, NamedTest>();
  /** Durations of the others by class, of each route. */
  const usualDurations = new Map<string, number[]>();
  let pending = new Map<string, RouteStep>();
  let finished = 0;
  let failed = 0;

  const testOf = (measure: string, route: string, levels: TestLevels): SequentialTest => {
    const name = `${measure} ${route}`;
    const known = tests.get(name) ?? { measure, route, test: createSequentialTest(levels) };
    tests.set(name, known);
    return known.test;
  };

  const stepOf = (route: string): RouteStep => {
    const known = pending.get(route) ?? { target: new Map<string, RouteCounts[]>(), others: [] };
    pending.set(route, known);
    return known;
  };

  const compareFailures = (route: string, step: RouteStep, moment: Moment): void => {
    const { now, areOthersServing } = moment;
    const compared = areOthersServing ? step : withoutTarget(step);
    const add = (test: SequentialTest, counts: RouteStep, measure: Measure) =>
      test.add({ ...outcomesOf(counts, measure), areOthersServing }, now);
    add(testOf('failures', route, FAILURE_LEVELS), compared, failuresOf);
    add(testOf('many failures', route, GROSS_FAILURE_LEVELS), step, failuresOf);
    add(testOf('lost connections', route, CRASH_LEVELS), step, crashesOf);
  };

  const compareDurations = (route: string, step: RouteStep, moment: Moment): void => {
    const { now, areOthersServing } = moment;
    const usual = usualDurations.get(route) ?? [];
    usualDurations.set(route, usual);
    for (const { durations } of step.others) {
      durations.forEach((count, place) => {
        usual[place] = (usual[place] ?? 0) + count;
      });
    }
    const bound = slowThresholdOf(usual);
    if (bound !== undefined) {
      const slowFrom = (counts: readonly RouteCounts[]) => slowOf(counts, bound);
      const outcomes = outcomesOf(areOthersServing ? step : withoutTarget(step), slowFrom);
      testOf('durations', route, SLOWNESS_LEVELS).add({ ...outcomes, areOthersServing }, now);
    }
  };

  return {
    addReport: ({ node, countId, isTarget, counts, reportedAtMs, isCompared }) => {
      for (const [route, whole] of counts) {
        const key = `${node} ${countId} ${isTarget} ${route}`;
        const since = countsSince(whole, newest.get(key));
        newest.set(key, whole);
        const of = isTarget ? node : undefined;
        const outcomes = failuresOf([since]);
        failures.addReport({ node: of, route, outcomes, reportedAtMs });
        if (isCompared) {
          comparedFailures.addReport({ node: of, route, outcomes, reportedAtMs });
        }
        const { target, others } = stepOf(route);
        if (!isTarget) {
          others.push(since);
          continue;
        }
        target.set(node, [...(target.get(node) ?? []), since]);
        finished += since.answered + since.failed + since.crashes;
        failed += since.failed + since.crashes;
      }
    },
    step: (areOthersServing, now) => {
      const moment = { areOthersServing, now };
      const whole: RouteStep = { target: new Map(), others: [] };
      // Each step counts for all routes: what came before waits for the others' reports.
      for (const route of new Set([...usualDurations.keys(), ...pending.keys()])) {
        const step = stepOf(route);
        compareFailures(route, step, moment);
        compareDurations(route, step, moment);
        whole.others.push(...step.others);
        for (const [node, counts] of step.target) {
          whole.target.set(node, [...(whole.target.get(node) ?? []), ...counts]);
        }
      }
      if (pending.size > 1) {
        compareFailures(ALL_ROUTES, whole, moment);
      }
      pending = new Map();
    },
    get othersEndMs() {
      return nearMaxDurationMs([...usualDurations.values()]);
    },
    get summary() {
      const strongest = strongestOf([...tests.values()]);
      return {
        finished,
        failed,
        weight: strongest?.test.weight ?? 0,
        weightWithoutOne: strongest?.test.weightWithoutOne ?? 0,
        measure: strongest?.measure ?? '',
        route: strongest?.route ?? '',
        isBad: strongest?.test.isBad ?? false,
        doubt: failures.doubt(),
        comparedDoubt: comparedFailures.doubtBeyondOneNode(),
        suspect: failures.suspect(),
        chanceIfBad: failures.chanceIfBad(),
      };
    },
  };
}

/** The test that finds the version bad; else the one that comes nearest to it. */
function strongestOf(tests: readonly NamedTest[]): NamedTest | undefined {
  return tests.reduce<NamedTest | undefined>((best, next) => {
    if (!best || (next.test.isBad && !best.test.isBad)) {
      return next;
    }
    const isStronger = next.test.weight > best.test.weight;
    return isStronger && next.test.isBad === best.test.isBad ? next : best;
  }, undefined);
}

function withoutTarget({ others }: RouteStep): RouteStep {
  return { target: new Map(), others };
}

type Measure = (counts: readonly RouteCounts[]) => Outcomes;

function outcomesOf(
  { target, others }: RouteStep,
  measure: Measure,
): Pick<TestStep, 'target' | 'others'> {
  return {
    target: new Map([...target].map(([node, counts]) => [node, measure(counts)])),
    others: measure(others),
  };
}
