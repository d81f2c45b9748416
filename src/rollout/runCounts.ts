/**
 * Counts by route how requests ended at a back end while a roll-out runs; the deciders of the
 * roll-out use the counts as evidence. Until they are reset for another order, the counts only
 * grow, so that a report that is lost, late or repeated makes no request missing or counted twice.
 */

/**
 * Factor between the bounds of successive duration classes. A version that is three times slower is
 * three classes higher.
 */
const CLASS_FACTOR = Math.SQRT2;

/** Upper bound of the first duration class, in milliseconds; the last class has none. */
const FIRST_BOUND_MS = 2;

/** Number of duration classes. The last one begins at 33 s, longer than requests wait. */
export const DURATION_CLASSES = 30;

/** Routes counted separately; requests of further routes are counted together. */
const MAX_ROUTES = 24;
const OTHER_ROUTES = '';

/**
 * A connection that is lost within this time, in milliseconds, after the previous lost one belongs
 * to the same crash, also on another route: a machine may fail under any version, and all requests
 * that run there fail with it.
 */
const SAME_CRASH_MS = 250;

/** How a request at a back end ended. */
export enum RunResult {
  Answered = 0,
  /**
   * The back end failed the request: its answer was a 5xx, was malformed, or came from another back
   * end.
   */
  Failed = 1,
  /** The connection was lost, which a faulty machine or network can cause under any version. */
  ConnectionLost = 2,
  /** The request was cancelled, as its client no longer waited for it. */
  Cancelled = 3,
}

/** One request at a back end. */
export interface BackEndRun {
  readonly service: string;
  /** Version of the back end; undefined until the back end has announced it. */
  readonly version: string | undefined;
  readonly route: string;
  readonly result: RunResult;
  readonly tookMs: number;
  /** True while the back end is still slow after its start; its durations are not counted then. */
  readonly isCold: boolean;
}

/** Counts of one route at one back end. */
export interface RouteCounts {
  readonly answered: number;
  readonly failed: number;
  /** Lost connections; those lost at about the same moment count once. */
  readonly crashes: number;
  /** Answered requests by duration class. */
  readonly durations: readonly number[];
  /** Cancelled requests by the class of the time until they were cancelled. */
  readonly cancellations: readonly number[];
}

/** Counts by the name of the route. */
export type CountsByRoute = ReadonlyMap<string, RouteCounts>;

export function durationClass(ms: number): number {
  const steps = Math.ceil(
    Math.log(Math.max(ms, FIRST_BOUND_MS) / FIRST_BOUND_MS) / Math.log(CLASS_FACTOR),
  );
  return Math.min(DURATION_CLASSES - 1, steps);
}

/** The upper bound of a class in milliseconds; for the last class, its lower bound. */
export function classUpperBoundMs(place: number): number {
  return FIRST_BOUND_MS * CLASS_FACTOR ** Math.min(place, DURATION_CLASSES - 2);
}

/** The counts that each owner keeps. */
export interface RunCounts {
  record(run: BackEndRun, now: number): void;
  /** Counts so far of the back ends of a version. */
  countsFor(version: string | undefined): CountsByRoute;
  /** Sets all counts to zero, for another order. */
  reset(): void;
}

interface MutableCounts {
  answered: number;
  failed: number;
  crashes: number;
  readonly durations: number[];
  readonly cancellations: number[];
}

export function createRunCounts(): RunCounts {
  const versions = new Map<string | undefined, Map<string, MutableCounts>>();
  let lostAt = Number.NEGATIVE_INFINITY;

  const countsOf = ({ version, route }: BackEndRun): MutableCounts => {
    const routes = versions.get(version) ?? new Map<string, MutableCounts>();
    versions.set(version, routes);
    const name = routes.has(route) || routes.size < MAX_ROUTES ? route : OTHER_ROUTES;
    const counts = routes.get(name) ?? emptyCounts();
    routes.set(name, counts);
    return counts;
  };

  return {
    record: (run, now) => {
      const counts = countsOf(run);
      const place = durationClass(run.tookMs);
      switch (run.result) {
        case RunResult.Answered:
          counts.answered += 1;
          add(counts.durations, run.isCold ? undefined : place);
          return;
        case RunResult.Failed:
          counts.failed += 1;
          return;
        case RunResult.ConnectionLost:
          counts.crashes += now - lostAt > SAME_CRASH_MS ? 1 : 0;
          lostAt = now;
          return;
        case RunResult.Cancelled:
          add(counts.cancellations, run.isCold ? undefined : place);
      }
    },
    countsFor: (version) => {
      const routes = [...(versions.get(version) ?? [])];
      return new Map(routes.map(([route, counts]) => [route, structuredClone(counts)]));
    },
    reset: () => versions.clear(),
  };
}

function emptyCounts(): MutableCounts {
  return { answered: 0, failed: 0, crashes: 0, durations: [], cancellations: [] };
}

function add(classes: number[], place: number | undefined): void {
  if (place === undefined) {
    return;
  }
  while (classes.length <= place) {
    classes.push(0);
  }
  classes[place] = (classes[place] ?? 0) + 1;
}

/**
 * Difference from an earlier state of the same counts; all of `current` if they were reset
 * meanwhile.
 */
export function countsSince(current: RouteCounts, earlier: RouteCounts | undefined): RouteCounts {
  if (!earlier || wasReset(current, earlier)) {
    return current;
  }
  return {
    answered: current.answered - earlier.answered,
    failed: current.failed - earlier.failed,
    crashes: current.crashes - earlier.crashes,
    durations: difference(current.durations, earlier.durations),
    cancellations: difference(current.cancellations, earlier.cancellations),
  };
}

function wasReset(current: RouteCounts, earlier: RouteCounts): boolean {
  return (
    current.answered < earlier.answered ||
    current.failed < earlier.failed ||
    current.crashes < earlier.crashes
  );
}

function difference(current: readonly number[], earlier: readonly number[]): number[] {
  return current.map((count, index) => Math.max(0, count - (earlier[index] ?? 0)));
}

/** Requests in the classes from index `place` up. */
export function countFrom(classes: readonly number[], place: number): number {
  return classes.slice(place).reduce((sum, count) => sum + count, 0);
}
