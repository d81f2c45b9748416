/** Checks the roll-outs of a soak. */
import { RolloutState } from '../src/rollout/rolloutOrder.js';
import { type SoakBreach, SoakRule } from './sidecarSoakCheck.js';

/** What became of one order. */
export interface RolloutHistory {
  readonly service: string;
  readonly targetVersion: string;
  readonly isBad: boolean;
  /** Every state that its status has had, in order; undefined before there is a status. */
  readonly states: readonly unknown[];
  /** Requests that the service's back ends have run from the order to its end, in all and on this version. */
  readonly runs: number;
  readonly exposed: number;
  /** Requests that the other versions still ran when they ended, as they may once it is completed. */
  readonly cut: number;
}

/** How many requests a version may get that has not proved itself. */
export interface ExposureBounds {
  readonly exposureShare: number;
  readonly exposureSlack: number;
}

const ENDS: readonly unknown[] = [RolloutState.Completed, RolloutState.RolledBack];

export function checkRollouts(
  histories: readonly RolloutHistory[],
  { exposureShare, exposureSlack }: ExposureBounds,
): SoakBreach[] {
  return histories.flatMap<SoakBreach>((history) => {
    const { service, targetVersion, isBad, states, runs, exposed, cut } = history;
    const detail = `${targetVersion} of ${service}: ${exposed} of ${runs} requests, ${cut} cut, ${states.map(String).join(' > ')}`;
    const isCompleted = states.includes(RolloutState.Completed);
    const isExposed = exposed > runs * exposureShare + exposureSlack;
    const rules: SoakRule[] = [];
    if (!goOneWay(states)) {
      rules.push(SoakRule.RolloutState);
    }
    if (isBad && isCompleted) {
      rules.push(SoakRule.BadVersion);
    }
    // A good one may be on its last step, all requests on it, when the soak or its decider ends.
    const mayBeOnLastStep = !isBad && !states.some((state) => ENDS.includes(state));
    if (!isCompleted && isExposed && !mayBeOnLastStep) {
      rules.push(SoakRule.Exposure);
    }
    if (cut > 0) {
      rules.push(SoakRule.Cut);
    }
    return rules.map((rule) => ({ rule, detail }));
  });
}

/** Nothing, then that it runs, then one end. */
function goOneWay(states: readonly unknown[]): boolean {
  const steps = states.filter((state, index) => index === 0 || state !== states[index - 1]);
  const places = steps.map((state) =>
    state === undefined ? 0 : state === RolloutState.Running ? 1 : ENDS.includes(state) ? 2 : -1,
  );
  return places.every((place, index) => place >= 0 && place > (places[index - 1] ?? -1));
}
