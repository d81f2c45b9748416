/** Log fields of a roll-out's decisions. */
import { budgetNow } from '../rollout/exposure.js';
import type { RolloutStep } from '../rollout/rolloutDecider.js';
import { RolloutPhase } from '../rollout/rolloutOrder.js';

/** The inputs and the outcome of a decision; the names are keys in the log. */
export function decisionLogFields(step: RolloutStep): Readonly<Record<string, unknown>> {
  const { phase, reason, facts, newestEvidenceMs, oldestEvidenceMs } = step;
  const { comparison, phase: before, routes, exposure, isFenced, ...numbers } = facts;
  const rounded = Object.entries({ ...numbers, newestEvidenceMs, oldestEvidenceMs }).map(
    ([name, value]) => [name, value && Math.round(value)],
  );
  return {
    before: RolloutPhase[before],
    phase: RolloutPhase[phase],
    reason,
    ...Object.fromEntries(rounded),
    ...comparison,
    ...exposure,
    perSecond: Math.round(exposure.perSecond),
    allowed: Math.floor(budgetNow(exposure)),
    limits: step.limits.map(({ limit }) => limit),
    isUnlimited: step.isUnlimited,
    isFenced,
    routes: routes.map(({ route, runs, failed, phaseRuns, perSecond }) =>
      [route, runs, failed, phaseRuns, Math.round(perSecond)].join(' '),
    ),
  };
}
