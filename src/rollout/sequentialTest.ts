/**
 * Whether the back ends of a version do worse than the others: Wald's sequential probability ratio
 * test, restarted whenever it speaks for the version (Page 1954), so that a version that turns bad
 * late is found as quickly as one that was bad from the start.
 *
 * What is usual is what the others show on the whole or at that very moment, whichever is worse: a
 * fault that begins at all back ends at once is not the version's.
 *
 * A version is bad if its back ends are: what is seen at a single one while others of the version do
 * well is a machine in trouble. So each test also runs without each of the back ends, and the weakest
 * of these must speak against the version as well.
 */

/** Outcomes of a kind: `bad` of them are. */
export interface Outcomes {
  readonly total: number;
  readonly bad: number;
}

export const NO_OUTCOMES: Outcomes = { total: 0, bad: 0 };

/** What has come in a step: at the target version by back end, and at all the others together. */
export interface TestStep {
  readonly target: ReadonlyMap<string, Outcomes>;
  readonly others: Outcomes;
  /** True while the others get requests as well. */
  readonly areOthersServing: boolean;
}

interface Timed<Value> {
  readonly at: number;
  readonly value: Value;
}

/** What is taken for usual, and for bad. */
export interface TestLevels {
  /** A share below this is usual, whatever the others show. */
  readonly floor: number;
  /** A version that exceeds the others' share by this is bad. */
  readonly excess: number;
}

/** A share of failures of a hundredth is noise; ten in a hundred is what must be found. */
export const FAILURE_LEVELS: TestLevels = { floor: 0.01, excess: 0.09 };

/** The same for a version that fails much: each failure then says more. */
export const GROSS_FAILURE_LEVELS: TestLevels = { floor: 0.01, excess: 0.4 };

/**
 * Connections are also lost by machines and networks in trouble, on several back ends at once: one in
 * twenty is theirs. A version that crashes under its requests loses far more.
 */
export const CRASH_LEVELS: TestLevels = { floor: 0.05, excess: 0.35 };

/** Durations are compared at a bound that few of the others exceed. */
export const SLOWNESS_LEVELS: TestLevels = { floor: 0.03, excess: 0.2 };

/**
 * Logarithm of the likelihood ratio at which a version is bad. Restarts make false alarms likelier than
 * the ratio says; see docs/design/rollouts.md for the shares measured.
 */
const CONVICTION = 9;

/** And without any one of its back ends. */
const CONVICTION_WITHOUT_ONE = 5;

/** Part of what the others have shown that a step of theirs takes the place of. */
const RENEWAL = 0.08;

/** Outcomes that the others are taken to have shown at the floor before they have shown any. */
const PRIOR_OUTCOMES = 40;

/**
 * Milliseconds by which the target's outcomes wait while the others serve as well: they report half as often,
 * so theirs of the same time come later.
 */
const DELAY_MS = 200;

/** The present moment, in milliseconds: each of the others reports once in it. */
const MOMENT_MS = 1_000;

/**
 * Standard errors by which the others' share may be underestimated: with the two estimates of it, 1.5
 * found fewer bad versions in time (docs/design/rollouts.md).
 */
const MARGIN = 1.2;

/**
 * The usual share is taken for no more than this, and a bad one for no more than the next: the
 * logarithms stay finite, and the two apart.
 */
const HIGHEST_USUAL_SHARE = 0.9;
const HIGHEST_SHARE = 0.95;

/** One measure of one route. */
export interface SequentialTest {
  /** Takes what has come since the last step, at a steady time in milliseconds. */
  add(step: TestStep, now: number): void;
  /** Evidence against the version, from 0 on: the logarithm of a likelihood ratio. */
  readonly weight: number;
  /** The same without the back end that it rests on most; equal to it if the version has only one. */
  readonly weightWithoutOne: number;
  /** True once the version is to be taken for bad. */
  readonly isBad: boolean;
}

export function createSequentialTest(levels: TestLevels): SequentialTest {
  let usual = NO_OUTCOMES;
  /** Outcomes of the others in the latest steps, the oldest first. */
  let recentOthers: Timed<Outcomes>[] = [];
  /** Outcomes of the target that wait for the others' reports. */
  let delayedTarget: Timed<TestStep['target']>[] = [];
  let weight = 0;
  /** Weights without each of the back ends that have shown anything bad; the others' equal `weight`. */
  const without = new Map<string, number>();
  const seen = new Set<string>();

  const shares = (): { usualShare: number; badShare: number } => {
    const { floor } = levels;
    const highest = Math.max(
      shareUpperBound(usual, floor),
      shareUpperBound(sumOutcomes(recentOthers.map(({ value }) => value)), floor),
    );
    const usualShare = Math.min(HIGHEST_USUAL_SHARE, highest);
    const badShare = Math.min(HIGHEST_SHARE, usualShare + Math.max(levels.excess, usualShare));
    return { usualShare, badShare };
  };

  const renew = ({ total, bad }: Outcomes): void => {
    if (total > 0) {
      const kept = 1 - RENEWAL;
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
      if (bad > 0 && !without.has(node)) {
        without.set(node, weight);
      }
    }
    for (const [node, before] of without) {
      const own = target.get(node);
      without.set(node, Math.max(0, before + sum - (own ? ratioOf(own) : 0)));
    }
    weight = Math.max(0, weight + sum);
  };

  const weakest = (): number => (seen.size < 2 ? weight : Math.min(weight, ...without.values()));

  return {
    add: ({ target, others, areOthersServing }, now) => {
      renew(others);
      const isPresent = ({ at }: Timed<unknown>) => now - at < MOMENT_MS;
      recentOthers = [...recentOthers.filter(isPresent), { at: now, value: others }];
      const isDelayed = ({ at }: Timed<unknown>) => areOthersServing && now - at < DELAY_MS;
      const waiting = [...delayedTarget, { at: now, value: target }];
      delayedTarget = waiting.filter(isDelayed);
      for (const { value } of waiting.filter((each) => !isDelayed(each))) {
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
      return weight >= CONVICTION && weakest() >= CONVICTION_WITHOUT_ONE;
    },
  };
}

/** What a share may be by what has been seen of it; not below `floor`. */
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
