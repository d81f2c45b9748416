/**
 * What a back end has made of the requests that it got while a roll-out runs, by route: the evidence.
 * Counts only grow, so that whoever is told later, or again, has lost nothing.
 */

/** Bounds between the classes of durations grow by this factor: a version three times slower is three classes off. */
const CLASS_FACTOR = Math.SQRT2;

/** The first class ends here, in milliseconds; the last one has no end. */
const FIRST_BOUND_MS = 2;

/** Classes of durations: the last one begins at 33 s, longer than requests wait. */
export const DURATION_CLASSES = 30;

/** Routes that are told apart; what comes over others is counted together. */
const MAX_ROUTES = 24;
const OTHER_ROUTES = '';

/**
 * Connections that a back end loses at the same moment, in milliseconds, are one crash: a machine may
 * fail under any version, and all that ran there fails with it.
 */
const SAME_CRASH_MS = 250;

/** How a request ended at a back end. */
export enum RunResult {
  Answered = 0,
  /** The back end failed it: an answer 5xx, a spoilt or foreign one. */
  Failed = 1,
  /** Its connection was lost: a machine or a network may do that to any version. */
  ConnectionLost = 2,
  /** Nobody waited for it any longer. */
  Cancelled = 3,
}

/** One request at a back end. */
export interface BackEndRun {
  readonly service: string;
  /** Of the back end; undefined while it has told none. */
  readonly version: string | undefined;
  readonly route: string;
  readonly result: RunResult;
  readonly tookMs: number;
  /** True while the back end is slow from its start: its durations tell nothing. */
  readonly isCold: boolean;
}

/** What is known of one route at one back end. */
export interface RouteCounts {
  readonly answered: number;
  readonly failed: number;
  /** Crashes: connections that were lost, those of one moment counted once. */
  readonly crashes: number;
  /** Answered requests by class of duration. */
  readonly durations: readonly number[];
  /** Requests that were cut off, by class of the time until then. */
  readonly cancellations: readonly number[];
}

/** By the names of the routes. */
export type CountsByRoute = ReadonlyMap<string, RouteCounts>;

/** The class of a duration. */
export function durationClass(ms: number): number {
  const steps = Math.ceil(
    Math.log(Math.max(ms, FIRST_BOUND_MS) / FIRST_BOUND_MS) / Math.log(CLASS_FACTOR),
  );
  return Math.min(DURATION_CLASSES - 1, steps);
}

/** The longest duration of a class, in milliseconds; of the last one, the shortest. */
export function classUpperBoundMs(place: number): number {
  return FIRST_BOUND_MS * CLASS_FACTOR ** Math.min(place, DURATION_CLASSES - 2);
}

/** Kept by each owner. */
export interface RunCounts {
  record(run: BackEndRun, now: number): void;
  /** What the back ends of a version have made of their requests until now. */
  countsFor(version: string | undefined): CountsByRoute;
  /** Another order: the counts begin anew. */
  reset(): void;
}

interface Counted {
  answered: number;
  failed: number;
  crashes: number;
  readonly durations: number[];
  readonly cancellations: number[];
}

export function createRunCounts(): RunCounts {
  const versions = new Map<string | undefined, Map<string, Counted>>();
  let lostAt = Number.NEGATIVE_INFINITY;

  const countsOf = ({ version, route }: BackEndRun): Counted => {
    const routes = versions.get(version) ?? new Map<string, Counted>();
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

function emptyCounts(): Counted {
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

/** What has come since an earlier state of the same counts; all of it if they began anew meanwhile. */
export function countsSince(now: RouteCounts, earlier: RouteCounts | undefined): RouteCounts {
  if (!earlier || hasBegunAnew(now, earlier)) {
    return now;
  }
  return {
    answered: now.answered - earlier.answered,
    failed: now.failed - earlier.failed,
    crashes: now.crashes - earlier.crashes,
    durations: difference(now.durations, earlier.durations),
    cancellations: difference(now.cancellations, earlier.cancellations),
  };
}

function hasBegunAnew(now: RouteCounts, earlier: RouteCounts): boolean {
  return (
    now.answered < earlier.answered || now.failed < earlier.failed || now.crashes < earlier.crashes
  );
}

function difference(now: readonly number[], earlier: readonly number[]): number[] {
  return now.map((count, index) => Math.max(0, count - (earlier[index] ?? 0)));
}

/** Requests in the classes from `place` on. */
export function countFrom(classes: readonly number[], place: number): number {
  return classes.slice(place).reduce((sum, count) => sum + count, 0);
}
