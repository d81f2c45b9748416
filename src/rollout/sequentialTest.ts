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

/** What has come in a step: at the target version by back end, and at all the others together. */
export interface TestStep {
  readonly target: ReadonlyMap<string, Outcomes>;
  readonly others: Outcomes;
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
 * Steps (ticks of the roll-out, 250 ms) by which the target's outcomes wait: the others report half as
 * often, so theirs of the same time come later.
 */
const DELAY_STEPS = 1;

/** Steps that make up the present moment, one second: each of the others reports once in it. */
const MOMENT_STEPS = 4;

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
  add(step: TestStep): void;
  /** Evidence against the version, from 0 on: the logarithm of a likelihood ratio. */
  readonly weight: number;
  /** The same without the back end that it rests on most; equal to it if the version has only one. */
  readonly weightWithoutOne: number;
  /** True once the version is to be taken for bad. */
  readonly isBad: boolean;
}

export function createSequentialTest(levels: TestLevels): SequentialTest {
  let usual: Outcomes = { total: 0, bad: 0 };
  /** Outcomes of the others in the latest steps, the oldest first. */
  const recentOthers: Outcomes[] = [];
  /** Outcomes of the target that wait for the others' reports. */
  const delayedTarget: TestStep['target'][] = [];
  let weight = 0;
  /** Weights without each of the back ends that have shown anything bad; the others' equal `weight`. */
  const without = new Map<string, number>();
  const seen = new Set<string>();

  const shares = (): { usualShare: number; badShare: number } => {
    const highest = Math.max(highestShare(usual), highestShare(sumOf(recentOthers)));
    const usualShare = Math.min(HIGHEST_USUAL_SHARE, Math.max(levels.floor, highest));
    const badShare = Math.min(HIGHEST_SHARE, usualShare + Math.max(levels.excess, usualShare));
    return { usualShare, badShare };
  };

  /** What the share may be, by what has been seen of it. */
  const highestShare = ({ total, bad }: Outcomes): number => {
    const size = total + PRIOR_OUTCOMES;
    const share = (bad + levels.floor * PRIOR_OUTCOMES) / size;
    return share + MARGIN * Math.sqrt((share * (1 - share)) / size);
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
    add: ({ target, others }) => {
      renew(others);
      keepLast(recentOthers, others, MOMENT_STEPS);
      const due = keepLast(delayedTarget, target, DELAY_STEPS);
      if (due) {
        addTarget(due);
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

/** Adds an item to a queue; takes out and returns the oldest one if there are more than `limit` now. */
function keepLast<Item>(queue: Item[], item: Item, limit: number): Item | undefined {
  queue.push(item);
  return queue.length > limit ? queue.shift() : undefined;
}

function sumOf(outcomes: readonly Outcomes[]): Outcomes {
  return outcomes.reduce(
    (sum, { total, bad }) => ({ total: sum.total + total, bad: sum.bad + bad }),
    { total: 0, bad: 0 },
  );
}
