/** Many orders of each kind in virtual time: what bad versions got, and how many good ones were done in time. */
import { RolloutState } from '../src/rollout/rolloutOrder.js';
import type { ExperimentResult, Row } from './experiment.js';
import { playRollout } from './rolloutTrial.js';
import type { RolloutTrialResult } from './rolloutTrialPlan.js';
import { ROLLOUT_CASES, type RolloutCase } from './rolloutTrials.js';

export interface RolloutExperiment {
  /** Orders of each kind, with seeds from 1 on. */
  readonly orders: number;
  /** Only kinds whose name holds this. */
  readonly only: string;
}

export function rolloutExperiment({ orders, only }: RolloutExperiment): ExperimentResult {
  const cases = ROLLOUT_CASES.filter(({ name }) => name.includes(only));
  return { experiment: 'rollouts', rows: cases.map((each) => rowOf(each, orders)) };
}

function rowOf({ name, isBad, trial }: RolloutCase, orders: number): Row {
  const { durationMs = 10_000 } = trial;
  const results = Array.from({ length: orders }, (_, index) =>
    playRollout({ ...trial, seed: index + 1 }),
  );
  const isInTime = ({ endedMs }: RolloutTrialResult) => endedMs <= durationMs;
  const count = (isCounted: (result: RolloutTrialResult) => boolean) =>
    results.filter(isCounted).length;
  const sum = (amountOf: (result: RolloutTrialResult) => number) =>
    results.reduce((total, result) => total + amountOf(result), 0);
  return {
    kind: name,
    orders,
    'all that is new': count(({ gotAll }) => gotAll),
    completed: count((result) => result.state === RolloutState.Completed && isInTime(result)),
    'rolled back': count((result) => result.state === RolloutState.RolledBack && isInTime(result)),
    late: count((result) => !isInTime(result)),
    'over the bound': isBad ? count(({ isOver }) => isOver) : '-',
    'most of the bound': Math.max(...results.map(({ boundShare }) => boundShare)).toFixed(2),
    'refused of 1,000': (
      (1_000 * sum(({ refused }) => refused)) /
      sum((each) => each.requests)
    ).toFixed(2),
  };
}
