/**
 * Compares the back ends of the target version with the others of the service, on the same routes over
 * the same time: failures, lost connections and durations, each route by itself, and the first two for
 * all routes together as well. While the others get nothing there is nothing to compare with: what is
 * slow then, or fails now and then, may be the load or the machines. Only many failures or many lost
 * connections speak against the version at such a time.
 */
import { type CountsByRoute, countFrom, countsSince, type RouteCounts } from './runCounts.js';
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

/** The bound of durations is the class above which at most this share of the others' lie, ... */
const SLOW_SHARE = 0.1;

/** ... and so many classes above that: a class is as long again by two fifths. */
const SLOW_CLASSES_ABOVE = 1;

/** Durations of the others on a route that are needed for a bound. */
const MIN_DURATIONS = 30;

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
}

/** One report: the whole counts of one back end. */
export interface CountsReport {
  readonly node: string;
  readonly isTarget: boolean;
  readonly counts: CountsByRoute;
}

/** Kept by the decider for each order. */
export interface VersionComparison {
  /** Takes a report; it counts with the next step. */
  take(report: CountsReport): void;
  /** Compares what has come since the last step; `areOthersServing` while they get requests as well. */
  step(areOthersServing: boolean): void;
  readonly summary: ComparisonSummary;
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

export function createVersionComparison(): VersionComparison {
  /** The newest whole counts, by node, version and route. */
  const newest = new Map<string, RouteCounts>();
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

  const compareFailures = (route: string, step: RouteStep, areOthersServing: boolean): void => {
    const compared = areOthersServing ? step : withoutTarget(step);
    testOf('failures', route, FAILURE_LEVELS).add(outcomesOf(compared, failuresOf));
    testOf('many failures', route, GROSS_FAILURE_LEVELS).add(outcomesOf(step, failuresOf));
    testOf('lost connections', route, CRASH_LEVELS).add(outcomesOf(step, crashesOf));
  };

  const compareDurations = (route: string, step: RouteStep): void => {
    const usual = usualDurations.get(route) ?? [];
    usualDurations.set(route, usual);
    for (const { durations } of step.others) {
      durations.forEach((count, place) => {
        usual[place] = (usual[place] ?? 0) + count;
      });
    }
    const bound = boundOf(usual);
    if (bound !== undefined) {
      const slowFrom = (counts: readonly RouteCounts[]) => slowOf(counts, bound);
      testOf('durations', route, SLOWNESS_LEVELS).add(outcomesOf(step, slowFrom));
    }
  };

  return {
    take: ({ node, isTarget, counts }) => {
      for (const [route, whole] of counts) {
        const key = `${node} ${isTarget} ${route}`;
        const since = countsSince(whole, newest.get(key));
        newest.set(key, whole);
        const { target, others } = stepOf(route);
        if (!isTarget) {
          others.push(since);
          continue;
        }
        target.set(node, [...(target.get(node) ?? []), since]);
        finished += since.answered + since.failed + since.lost;
        failed += since.failed + since.lost;
      }
    },
    step: (areOthersServing) => {
      const whole: RouteStep = { target: new Map(), others: [] };
      // Each step counts for all routes: what came before waits for the others' reports.
      for (const route of new Set([...usualDurations.keys(), ...pending.keys()])) {
        const step = stepOf(route);
        compareFailures(route, step, areOthersServing);
        compareDurations(route, areOthersServing ? step : withoutTarget(step));
        whole.others.push(...step.others);
        for (const [node, counts] of step.target) {
          whole.target.set(node, [...(whole.target.get(node) ?? []), ...counts]);
        }
      }
      if (pending.size > 1) {
        compareFailures(ALL_ROUTES, whole, areOthersServing);
      }
      pending = new Map();
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

function outcomesOf({ target, others }: RouteStep, measure: Measure): TestStep {
  return {
    target: new Map([...target].map(([node, counts]) => [node, measure(counts)])),
    others: measure(others),
  };
}

function failuresOf(counts: readonly RouteCounts[]): Outcomes {
  return counts.reduce(
    (sum, { answered, failed }) => ({
      total: sum.total + answered + failed,
      bad: sum.bad + failed,
    }),
    { total: 0, bad: 0 },
  );
}

function crashesOf(counts: readonly RouteCounts[]): Outcomes {
  return counts.reduce(
    (sum, { answered, failed, lost }) => ({
      total: sum.total + answered + failed + lost,
      bad: sum.bad + lost,
    }),
    { total: 0, bad: 0 },
  );
}

/** What was cut off before the bound tells nothing. */
function slowOf(counts: readonly RouteCounts[], bound: number): Outcomes {
  return counts.reduce(
    (sum, { durations, cuts }) => {
      const slow = countFrom(durations, bound) + countFrom(cuts, bound);
      return {
        total: sum.total + countFrom(durations, 0) + countFrom(cuts, bound),
        bad: sum.bad + slow,
      };
    },
    { total: 0, bad: 0 },
  );
}

/** The first class that counts as slow; undefined while too little is known. */
function boundOf(durations: readonly number[]): number | undefined {
  const total = countFrom(durations, 0);
  if (total < MIN_DURATIONS) {
    return undefined;
  }
  let place = 0;
  while (countFrom(durations, place) > total * SLOW_SHARE) {
    place += 1;
  }
  return place + SLOW_CLASSES_ABOVE;
}
