/**
 * Compares the failures of a version since its order with those of the others at the same moments.
 * Unlike a sequential test it discards nothing: it decides whether a version may get more requests,
 * not whether it is bad.
 */
import { NO_OUTCOMES, type Outcomes, shareUpperBound, sumOutcomes } from './sequentialTest.js';

/**
 * A version is in doubt while the probability of its failures, at the others' failure share, is
 * below this. This is also the share of good versions that chance delays for a while.
 */
const DOUBT_PROBABILITY = 0.005;

/** Smallest usual failure share, even if the others have fewer failures. */
const USUAL_FAILURES = 0.005;

/**
 * If the version's failures are unusual, the back end with the most failures is left out. The
 * version is cleared if its other back ends have at least CLEARING_RUNS runs and the probability of
 * their failures is not below ODD_PROBABILITY.
 */
const CLEARING_RUNS = 10;
const ODD_PROBABILITY = 0.15;

/** Amount by which the failure share of a bad version exceeds that of the others on a route. */
const WORSE_BY = 0.1;

/**
 * A route with less than RARE_SHARE of all requests can prove little. There it is enough if the
 * version has run at least RARE_PART of the route's requests and none of them failed.
 */
const RARE_SHARE = 0.05;
const RARE_PART = 0.5;

/** Outcomes reported within one span of this many milliseconds count as simultaneous. */
const SPAN_MS = 500;

/**
 * Number of spans on either side whose outcomes of the others are compared as well: the others
 * report once a second.
 */
const ADJACENT_SPANS = 2;

/** Keys for all back ends of other versions, and for all routes. */
const OTHERS = '';
const ALL_ROUTES = '*';

/** New outcomes of one report on one route. */
export interface FailureReport {
  /** Undefined for an owner of another version. */
  readonly node: string | undefined;
  readonly route: string;
  readonly outcomes: Outcomes;
  /** Age of the order when the report was made, in milliseconds. */
  readonly reportedAtMs: number;
}

export interface FailureCounts {
  addReport(report: FailureReport): void;
  /**
   * Text on the first route with more failures than a version as good as the others would have;
   * undefined if there is none.
   */
  doubt(): string | undefined;
  /** Like `doubt`, but leaves out routes whose failures a single faulty machine would explain. */
  doubtBeyondOneNode(): string | undefined;
  /**
   * Node of the back end with the most failures, if those of the version's other back ends are not
   * unusual; its machine may be faulty.
   */
  suspect(): string | undefined;
  /**
   * Probability that a version whose failure share is 0.1 above that of the others has so few
   * failures, on the route where that is most likely.
   */
  chanceIfBad(): number;
}

/** Outcomes by span. */
type Spans = Map<number, Outcomes>;

/** Result for the failures on one route. */
interface Judgement {
  readonly route: string;
  readonly text: string;
  /** Outcomes of the version's back ends, without a suspect. */
  readonly outcomes: Outcomes;
  /** True if the failures are not unusual, or if the version's other nodes clear it. */
  readonly isCleared: boolean;
  readonly suspect: string | undefined;
}

export function createFailureCounts(): FailureCounts {
  const byRoute = new Map<string, Map<string, Spans>>();

  const addTo = (route: string, { node = OTHERS, outcomes, reportedAtMs }: FailureReport): void => {
    const nodes = byRoute.get(route) ?? new Map<string, Spans>();
    byRoute.set(route, nodes);
    const spans = nodes.get(node) ?? new Map<number, Outcomes>();
    nodes.set(node, spans);
    const span = Math.floor(reportedAtMs / SPAN_MS);
    spans.set(span, sumOutcomes([spans.get(span) ?? NO_OUTCOMES, outcomes]));
  };

  /** Judgements cached until the next report. */
  let cachedJudgements: readonly Judgement[] | undefined;

  const judgements = (): readonly Judgement[] => {
    cachedJudgements ??= [...byRoute].map(([route, nodes]) => judge(route, nodes));
    return cachedJudgements;
  };

  return {
    addReport: (report) => {
      cachedJudgements = undefined;
      addTo(report.route, report);
      addTo(ALL_ROUTES, report);
    },
    doubt: () => judgements().find(({ isCleared }) => !isCleared)?.text,
    doubtBeyondOneNode: () =>
      judgements().find(({ isCleared, suspect }) => !isCleared && suspect === undefined)?.text,
    suspect: () => judgements().find(({ suspect }) => suspect !== undefined)?.suspect,
    chanceIfBad: () => {
      const all = sumOutcomes(
        [...(byRoute.get(ALL_ROUTES) ?? [])].map(([, spans]) => wholeOf(spans)),
      );
      const chances = judgements().map((judgement) =>
        chanceIfBadOn(judgement, byRoute.get(judgement.route) ?? new Map(), all.total),
      );
      return Math.max(...chances);
    },
  };
}

function wholeOf(spans: Spans | undefined): Outcomes {
  return sumOutcomes([...(spans?.values() ?? [])]);
}

function targetsOf(nodes: ReadonlyMap<string, Spans>): [node: string, spans: Spans][] {
  return [...nodes].filter(([node]) => node !== OTHERS);
}

function judge(route: string, nodes: ReadonlyMap<string, Spans>): Judgement {
  const usualIn = usualSharesOf(nodes.get(OTHERS) ?? new Map());
  const targets = targetsOf(nodes).map(([node, spans]) => ({ node, ...expect(spans, usualIn) }));
  const sum = add(targets);
  const text = `${sum.bad} of ${sum.total} failed ${route}`;
  if (chanceOf(sum) >= DOUBT_PROBABILITY) {
    return { route, text, outcomes: sum, isCleared: true, suspect: undefined };
  }
  const worst = targets.reduce((one, other) => (other.bad > one.bad ? other : one));
  const rest = add(targets.filter((each) => each !== worst));
  const isOdd = chanceOf(rest) < ODD_PROBABILITY;
  const isCleared = !isOdd && rest.total >= CLEARING_RUNS;
  return {
    route,
    text,
    outcomes: isOdd ? sum : rest,
    isCleared,
    suspect: isOdd ? undefined : worst.node,
  };
}

/** Outcomes, and the failures expected among as many requests of the others. */
interface Expected extends Outcomes {
  readonly usual: number;
}

function expect(spans: Spans, usualIn: (span: number) => number): Expected {
  const usual = [...spans].reduce((sum, [span, { total }]) => sum + total * usualIn(span), 0);
  return { ...wholeOf(spans), usual };
}

function add(all: readonly Expected[]): Expected {
  return { ...sumOutcomes(all), usual: all.reduce((sum, { usual }) => sum + usual, 0) };
}

/** The others' failure share around a span or overall, whichever is higher. */
function usualSharesOf(others: Spans): (span: number) => number {
  const whole = shareUpperBound(wholeOf(others), USUAL_FAILURES);
  const cache = new Map<number, number>();
  const shareNear = (span: number) => {
    const near = Array.from(
      { length: 2 * ADJACENT_SPANS + 1 },
      (_, index) => others.get(span - ADJACENT_SPANS + index) ?? NO_OUTCOMES,
    );
    return Math.max(whole, shareUpperBound(sumOutcomes(near), USUAL_FAILURES));
  };
  return (span) => {
    const share = cache.get(span) ?? shareNear(span);
    cache.set(span, share);
    return share;
  };
}

/** Probability of at least `bad` bad outcomes if `usual` of them are expected. */
function chanceOf({ total, bad, usual }: Expected): number {
  const share = total > 0 ? Math.min(1, usual / total) : 0;
  if (share >= 1) {
    return 1;
  }
  let exactly = (1 - share) ** total;
  let fewer = 0;
  for (let count = 0; count < bad; count += 1) {
    fewer += exactly;
    exactly *= ((total - count) / (count + 1)) * (share / (1 - share));
  }
  return 1 - fewer;
}

function chanceIfBadOn(
  { outcomes }: Judgement,
  nodes: ReadonlyMap<string, Spans>,
  all: number,
): number {
  const others = wholeOf(nodes.get(OTHERS));
  const total = others.total + outcomes.total;
  const isRare = total < all * RARE_SHARE;
  if (isRare && outcomes.bad === 0 && outcomes.total >= total * RARE_PART) {
    return 0;
  }
  const worse = Math.min(1, shareUpperBound(others, USUAL_FAILURES) + WORSE_BY);
  const oneMore = { total: outcomes.total, bad: outcomes.bad + 1, usual: outcomes.total * worse };
  return 1 - chanceOf(oneMore);
}
