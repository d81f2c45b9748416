/**
 * Compares the back ends of the target version with the others of the service, on the same routes
 * over the same time. Failures, lost connections and durations are tested on each route, failures
 * and lost connections on all routes together as well. While the others get no requests there is
 * nothing to compare with: slow requests and occasional failures may then be caused by the load or
 * the machines. At such a time only many failures or many lost connections count against the
 * version.
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

/** Result of the comparison so far. */
export interface ComparisonSummary {
  /** Requests that the target version has finished; a crash counts as one. */
  readonly finished: number;
  /** Requests of these that failed. */
  readonly failed: number;
  /** Weight of the test with the strongest evidence against the version. */
  readonly weight: number;
  /** Weight of the same test without the back end that contributes most to it. */
  readonly weightWithoutOne: number;
  /** Measure of this test. */
  readonly measure: string;
  /** Route of this test. */
  readonly route: string;
  readonly isBad: boolean;
  /**
   * Reason why the version should get no more requests though it is not considered bad yet;
   * undefined if there is none.
   */
  readonly doubt: string | undefined;
  /**
   * Like `doubt`, but only from failures while the others served too, and only if a single faulty
   * machine would not explain them.
   */
  readonly comparedDoubt: string | undefined;
  /**
   * Node of the back end with the most failures, if those of the version's other back ends are not
   * unusual; its machine may be faulty.
   */
  readonly suspect: string | undefined;
  /**
   * Probability that a version whose failure share on a route is 0.1 above that of the others has
   * so few failures, on the route where that is most likely.
   */
  readonly chanceIfBad: number;
}

/** A report: the total counts of one back end. */
export interface CountsReport {
  readonly node: string;
  /** Changes when the counts start from zero. */
  readonly countId: string;
  readonly isTarget: boolean;
  /** Age of the order when the report was made, in milliseconds. */
  readonly reportedAtMs: number;
  /** False while the others get no requests: failures at such a time may not be the version's. */
  readonly isCompared: boolean;
  readonly counts: CountsByRoute;
}

/** The comparison that the decider keeps for each order. */
export interface VersionComparison {
  /** Adds a report; it counts from the next step on. */
  addReport(report: CountsReport): void;
  /**
   * Compares the counts that arrived since the last step. `areOthersServing` is true while the
   * others get requests too; `now` is monotonic, in milliseconds.
   */
  step(areOthersServing: boolean, now: number): void;
  readonly summary: ComparisonSummary;
  /** Milliseconds within which nearly all requests end at the others; 0 without durations. */
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

/** Time of a step, and whether the others get requests too. */
interface Moment {
  readonly now: number;
  readonly areOthersServing: boolean;
}

export function createVersionComparison(): VersionComparison {
  /** The newest total counts, by node, count, whether it is the target version, and route. */
  const newest = new Map<string, RouteCounts>();
  const failures = createFailureCounts();
  /** Failures from the time when the others served too. */
  const comparedFailures = createFailureCounts();
  const tests = new Map<string, NamedTest>();
  /** Durations of the others by route and class. */
  const usualDurations = new Map<string, number[]>();
  let pending = new Map<string, RouteStep>();
  let finished = 0;
  let failed = 0;

  const testOf = (measure: string, route: string, levels: TestLevels): SequentialTest => {
    const name = `${measure} ${route}`;
    const named = tests.get(name) ?? { measure, route, test: createSequentialTest(levels) };
    tests.set(name, named);
    return named.test;
  };

  const stepOf = (route: string): RouteStep => {
    const routeStep = pending.get(route) ?? {
      target: new Map<string, RouteCounts[]>(),
      others: [],
    };
    pending.set(route, routeStep);
    return routeStep;
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
    const threshold = slowThresholdOf(usual);
    if (threshold !== undefined) {
      const slowFrom = (counts: readonly RouteCounts[]) => slowOf(counts, threshold);
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
        const targetNode = isTarget ? node : undefined;
        const outcomes = failuresOf([since]);
        failures.addReport({ node: targetNode, route, outcomes, reportedAtMs });
        if (isCompared) {
          comparedFailures.addReport({ node: targetNode, route, outcomes, reportedAtMs });
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
      // Each step runs the tests of all routes, also those without new counts: the tests delay
      // earlier outcomes of the target until the others' reports arrive.
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

/** The test that finds the version bad; otherwise the one with the strongest evidence. */
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
