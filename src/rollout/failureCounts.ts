/**
 * Failures of a version since its order against what the others have shown at the same moments. Unlike a
 * sequential test it forgets nothing: it says whether a version may get more, not whether it is bad.
 */
import { NO_OUTCOMES, type Outcomes, shareUpperBound, sumOutcomes } from './sequentialTest.js';

/**
 * A version is in doubt while it shows failures that are less likely than this at the others' share: one
 * version in so many that is good is held up by chance for a while.
 */
const DOUBTED_BELOW = 0.005;

/** Share of failures that is taken for usual where the others show fewer. */
const USUAL_FAILURES = 0.005;

/** A single back end may be what fails: the rest clears the version by so many runs, if they show nothing odd. */
const CLEARING_RUNS = 10;
const ODD_BELOW = 0.15;

/** A version counts as bad on a route that fails so much more there than the others. */
const WORSE_BY = 0.1;

/** Routes with fewer of the requests than this together prove little: half of theirs are enough. */
const RARE_SHARE = 0.05;
const RARE_PART = 0.5;

/** What is reported in one span, in milliseconds, is taken for one moment, ... */
const SPAN_MS = 500;

/** ... and compared with so many spans of the others on either side: they report once a second. */
const SPANS_BESIDE = 2;

/** Stands for all back ends of other versions, and for all routes. */
const OTHERS = '';
const ALL_ROUTES = '*';

/** What has come with one report. */
export interface FailureReport {
  /** Undefined for one of the others. */
  readonly node: string | undefined;
  readonly route: string;
  readonly outcomes: Outcomes;
  /** Age of the order as it was made, in milliseconds. */
  readonly reportedAtMs: number;
}

export interface FailureCounts {
  addReport(report: FailureReport): void;
  /** The failures that are too many for a version as good as the others; undefined if there are none. */
  doubt(): string | undefined;
  /** The same, but for what a single machine in trouble would explain. */
  doubtBeyondOneNode(): string | undefined;
  /** The node of the version without which nothing would speak against it: a machine in trouble, maybe. */
  suspect(): string | undefined;
  /** How often a version that fails a tenth more than the others shows so few failures: the likeliest route's. */
  chanceIfBad(): number;
}

/** Outcomes by span. */
type Spans = Map<number, Outcomes>;

/** What the failures on a route say. */
interface Judgement {
  readonly route: string;
  readonly text: string;
  /** Of the version's back ends, without a suspect. */
  readonly shown: Outcomes;
  /** True if they are not too many, or all at one node of several. */
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

  /** Until the next report. */
  let judged: readonly Judgement[] | undefined;

  const judgements = (): readonly Judgement[] => {
    judged ??= [...byRoute].map(([route, nodes]) => judge(route, nodes));
    return judged;
  };

  return {
    addReport: (report) => {
      judged = undefined;
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
  if (chanceOf(sum) >= DOUBTED_BELOW) {
    return { route, text, shown: sum, isCleared: true, suspect: undefined };
  }
  const worst = targets.reduce((one, other) => (other.bad > one.bad ? other : one));
  const rest = add(targets.filter((each) => each !== worst));
  const isOdd = chanceOf(rest) < ODD_BELOW;
  const isCleared = !isOdd && rest.total >= CLEARING_RUNS;
  return {
    route,
    text,
    shown: isOdd ? sum : rest,
    isCleared,
    suspect: isOdd ? undefined : worst.node,
  };
}

/** Outcomes, and the failures among as many of the others. */
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

/** What the others showed about a span, or on the whole, whichever is worse. */
function usualSharesOf(others: Spans): (span: number) => number {
  const whole = shareUpperBound(wholeOf(others), USUAL_FAILURES);
  const known = new Map<number, number>();
  const shareNear = (span: number) => {
    const near = Array.from(
      { length: 2 * SPANS_BESIDE + 1 },
      (_, index) => others.get(span - SPANS_BESIDE + index) ?? NO_OUTCOMES,
    );
    return Math.max(whole, shareUpperBound(sumOutcomes(near), USUAL_FAILURES));
  };
  return (span) => {
    const share = known.get(span) ?? shareNear(span);
    known.set(span, share);
    return share;
  };
}

/** The probability of so many bad outcomes, or more, where as many are usual as is told. */
function chanceOf({ total, bad, usual }: Expected): number {
  const share = total > 0 ? Math.min(1, usual / total) : 0;
  if (share >= 1) {
    return 1;
  }
  let each = (1 - share) ** total;
  let fewer = 0;
  for (let count = 0; count < bad; count += 1) {
    fewer += each;
    each *= ((total - count) / (count + 1)) * (share / (1 - share));
  }
  return 1 - fewer;
}

function chanceIfBadOn(
  { shown }: Judgement,
  nodes: ReadonlyMap<string, Spans>,
  all: number,
): number {
  const others = wholeOf(nodes.get(OTHERS));
  const total = others.total + shown.total;
  const isRare = total < all * RARE_SHARE;
  if (isRare && shown.bad === 0 && shown.total >= total * RARE_PART) {
    return 0;
  }
  const worse = Math.min(1, shareUpperBound(others, USUAL_FAILURES) + WORSE_BY);
  const oneMore = { total: shown.total, bad: shown.bad + 1, usual: shown.total * worse };
  return 1 - chanceOf(oneMore);
}
