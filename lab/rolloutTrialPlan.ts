/** What a trial of a roll-out in virtual time is given, and what it returns. */

import type { RolloutPhase, RolloutState } from '../src/rollout/rolloutOrder.js';

/** What a version makes of a request. */
export interface TrialFate {
  /** Share that fails. */
  readonly failing: number;
  /** How many times as long as usual it takes; 1 if left out. */
  readonly slowness?: number;
}

/** What a fate may depend on. */
export interface TrialRun {
  readonly route: number;
  readonly node: string;
  /** Milliseconds since the order. */
  readonly atMs: number;
  readonly phase: RolloutPhase;
}

/** All times in milliseconds. */
export interface RolloutTrial {
  readonly seed: number;
  /** Requests a second to the service, by route. */
  readonly perSecond: readonly number[];
  /** How many times as many come at a moment. */
  readonly crowd?: (atMs: number) => number;
  readonly durationMs?: number;
  /** Back ends of the version and of the other one. */
  readonly targets?: number;
  readonly others?: number;
  /** Reports come so late, words of the decider, and calls to the store. */
  readonly reportMs?: number;
  readonly wordMs?: number;
  readonly storeMs?: number;
  /** The middle of the durations; most lie within twice of it. */
  readonly serviceMs?: number;
  readonly target?: (run: TrialRun) => TrialFate;
  readonly other?: (run: TrialRun) => TrialFate;
  /** A node's reports do not come. */
  readonly isMute?: (node: string, atMs: number) => boolean;
}

export interface RolloutTrialResult {
  readonly state: RolloutState;
  /** When the status stood in the store; infinite if it never did. */
  readonly endedMs: number;
  /** From the order to its deadline: requests to the service, and those of them that the version got. */
  readonly requests: number;
  readonly exposed: number;
  /** What the version got as a part of what a bad one may, and whether that is more. */
  readonly boundShare: number;
  readonly isOver: boolean;
  /** True if it got all that was new at some time. */
  readonly gotAll: boolean;
  /** Requests that no back end took, and those that the others still ran at their end. */
  readonly refused: number;
  readonly cut: number;
  readonly phases: readonly string[];
}
