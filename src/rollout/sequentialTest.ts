/**
 * Tests whether the back ends of a version do worse than the others: Wald's sequential probability
 * ratio test, restarted whenever the evidence favours the version (Page 1954), so that a version
 * that turns bad late is found as quickly as one that was bad from the start.
 *
 * The usual share of bad outcomes is that of the other back ends, either over a longer time, with
 * more weight on recent outcomes, or at the same moment, whichever is worse: a fault that begins at
 * all back ends at once is not caused by the version.
 *
 * Bad outcomes at a single back end, while others of the version do well, point to a faulty machine
 * and not to the version. Each test therefore also runs without each of the back ends, and the
 * weakest of these results must find the version bad as well.
 */

/** A number of outcomes, `bad` of which are bad. */
export interface Outcomes {
  readonly total: number;
  readonly bad: number;
}

export const NO_OUTCOMES: Outcomes = { total: 0, bad: 0 };

/**
 * Outcomes that arrived in one step: those of the target version by back end, those of all others
 * together.
 */
export interface TestStep {
  readonly target: ReadonlyMap<string, Outcomes>;
  readonly others: Outcomes;
  /** True while the others receive requests too. */
  readonly areOthersServing: boolean;
}

interface Timed<Value> {
  readonly at: number;
  readonly value: Value;
}

/** Thresholds for the usual and the bad share. */
export interface TestLevels {
  /** Smallest usual share, even if the others have fewer bad outcomes. */
  readonly floor: number;
  /** Amount by which the share of a bad version exceeds the usual share. */
  readonly excess: number;
}

/** A failure share of 1% is noise; a version that fails 10% must be found. */
export const FAILURE_LEVELS: TestLevels = { floor: 0.01, excess: 0.09 };

/**
 * Levels of a test for versions that fail a large part of their requests; each failure weighs more
 * in it than with FAILURE_LEVELS.
 */
export const GROSS_FAILURE_LEVELS: TestLevels = { floor: 0.01, excess: 0.4 };

/**
 * Faulty machines and networks lose connections too, on several back ends at once: up to one in
 * twenty is attributed to them. A version that crashes on its requests loses far more.
 */
export const CRASH_LEVELS: TestLevels = { floor: 0.05, excess: 0.35 };

/** A request is slow above a duration that few requests of the others exceed. */
export const SLOWNESS_LEVELS: TestLevels = { floor: 0.03, excess: 0.2 };

/**
 * Logarithm of the likelihood ratio at which a version is bad. The restarts make false alarms more
 * frequent than the ratio implies; docs/design/rollouts.md gives their shares.
 */
const BAD_WEIGHT = 9;

/**
 * Logarithm of the ratio that must also be reached if the back end that contributes most to it is
 * left out.
 */
const BAD_WEIGHT_WITHOUT_ONE = 5;

/**
 * Share by which the others' earlier outcomes are discounted whenever new ones arrive, so that the
 * usual share depends mostly on recent outcomes.
 */
const DISCOUNT = 0.08;

/** Number of outcomes at the floor share that the estimate of a share starts from. */
const PRIOR_OUTCOMES = 40;

/**
 * Milliseconds by which the target's outcomes are delayed while the others serve too: the others
 * report half as often, so their outcomes of the same time arrive later.
 */
const DELAY_MS = 200;

/** Milliseconds that count as the same moment: each of the others reports once in that time. */
const MOMENT_MS = 1_000;

/**
 * Standard errors added to the others' share, which may be underestimated. As the larger of two
 * estimates of that share is used, 1.5 found fewer bad versions in time (docs/design/rollouts.md).
 */
const MARGIN = 1.2;

/**
 * Upper limits of the usual and of the bad share. They keep the logarithms finite and the two
 * shares apart.
 */
const MAX_USUAL_SHARE = 0.9;
const MAX_BAD_SHARE = 0.95;

/** The test of one measure on one route. */
export interface SequentialTest {
  /** Adds the outcomes since the last step; `now` is monotonic, in milliseconds. */
  add(step: TestStep, now: number): void;
  /** Evidence against the version: the logarithm of a likelihood ratio, 0 or more. */
  readonly weight: number;
  /**
   * The weight without the back end that contributes most to it; equal to `weight` if the version
   * has only one back end.
   */
  readonly weightWithoutOne: number;
  /** True while the evidence is strong enough to consider the version bad. */
  readonly isBad: boolean;
}

export function createSequentialTest(levels: TestLevels): SequentialTest {
  let usual = NO_OUTCOMES;
  /** Outcomes of the others in the latest steps, the oldest first. */
  let recentOthers: Timed<Outcomes>[] = [];
  /** Outcomes of the target that are delayed until the others' reports arrive. */
  let delayedTarget: Timed<TestStep['target']>[] = [];
  let weight = 0;
  /**
   * For each back end that has had bad outcomes, the weight without that back end. For a back end
   * without bad outcomes, `weight` is used instead.
   */
  const excluding = new Map<string, number>();
  const seen = new Set<string>();

  const shares = (): { usualShare: number; badShare: number } => {
    const { floor } = levels;
    const highest = Math.max(
      shareUpperBound(usual, floor),
      shareUpperBound(sumOutcomes(recentOthers.map(({ value }) => value)), floor),
    );
    const usualShare = Math.min(MAX_USUAL_SHARE, highest);
    const badShare = Math.min(MAX_BAD_SHARE, usualShare + Math.max(levels.excess, usualShare));
    return { usualShare, badShare };
  };

  const updateUsual = ({ total, bad }: Outcomes): void => {
    if (total > 0) {
      const kept = 1 - DISCOUNT;
      usual = { total: usual.total * kept + total, bad: usual.bad * kept + bad };
    }
  };

  const addTarget = (target: TestStep['target']): void => {
    const { usualShare, badShare } = shares();
    const perBad = Math.log(badShare / usualShare);
    const perGood = Math.log((1 - badShare) / (1 - usualShare));
    const ratioOf = ({ total, bad }: Outcomes) => bad * perBad + (total - bad) * perGood;
    const sum = [...target.values()].reduce((whole, outcomes) => whole + ratioOf(outcomes), 0);
    for (const [node, { total, bad }] of target) {
      if (total > 0) {
        seen.add(node);
      }
      if (bad > 0 && !excluding.has(node)) {
        excluding.set(node, weight);
      }
    }
    for (const [node, before] of excluding) {
      const own = target.get(node);
      excluding.set(node, Math.max(0, before + sum - (own ? ratioOf(own) : 0)));
    }
    weight = Math.max(0, weight + sum);
  };

  const weakest = (): number => (seen.size < 2 ? weight : Math.min(weight, ...excluding.values()));

  return {
    add: ({ target, others, areOthersServing }, now) => {
      updateUsual(others);
      const isRecent = ({ at }: Timed<unknown>) => now - at < MOMENT_MS;
      recentOthers = [...recentOthers.filter(isRecent), { at: now, value: others }];
      const isDelayed = ({ at }: Timed<unknown>) => areOthersServing && now - at < DELAY_MS;
      const pending = [...delayedTarget, { at: now, value: target }];
      delayedTarget = pending.filter(isDelayed);
      for (const { value } of pending.filter((each) => !isDelayed(each))) {
        addTarget(value);
      }
    },
    get weight() {
      return weight;
    },
    get weightWithoutOne() {
      return weakest();
    },
    get isBad() {
      return weight >= BAD_WEIGHT && weakest() >= BAD_WEIGHT_WITHOUT_ONE;
    },
  };
}

/** Upper estimate of the share of bad outcomes, at least `floor`. */
export function shareUpperBound({ total, bad }: Outcomes, floor: number): number {
  const size = total + PRIOR_OUTCOMES;
  const share = (bad + floor * PRIOR_OUTCOMES) / size;
  return Math.max(floor, share + MARGIN * Math.sqrt((share * (1 - share)) / size));
}

export function sumOutcomes(outcomes: readonly Outcomes[]): Outcomes {
  return outcomes.reduce(
    (sum, { total, bad }) => ({ total: sum.total + total, bad: sum.bad + bad }),
    { total: 0, bad: 0 },
  );
}
