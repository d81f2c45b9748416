/** What the end of a call says of the back end that ran it, as a roll-out counts it. */
import type { BackEnd } from '../registry/back-end-registry.js';
import { isSameIncarnation } from '../registry/backEndIncarnation.js';
import { type BackEndRun, RunResult } from '../rollout/runCounts.js';
import type { OwnerOutcome, OwnerTask } from './owner.js';

const FIRST_FAILED_STATUS = 500;

/** One call that has ended. */
export interface EndedCall {
  readonly task: Pick<OwnerTask, 'route'>;
  /** To which it was sent. */
  readonly backEnd: BackEnd;
  /** Present now: a back end tells its version some time after it is ready. */
  readonly currentBackEnd: BackEnd | undefined;
  readonly outcome: OwnerOutcome;
  readonly tookMs: number;
  /** On the clock of `coldUntil`. */
  readonly now: number;
}

/** Undefined for a call that says nothing of the back end's version. */
export function backEndRunOf(call: EndedCall): BackEndRun | undefined {
  const { task, currentBackEnd, outcome, tookMs, now } = call;
  const backEnd =
    currentBackEnd && isSameIncarnation(currentBackEnd, call.backEnd)
      ? currentBackEnd
      : call.backEnd;
  const result = runEndOf(outcome);
  return result === undefined
    ? undefined
    : {
        service: backEnd.service,
        version: backEnd.version,
        route: task.route,
        result,
        tookMs,
        isCold: now < backEnd.coldUntil,
      };
}

function runEndOf(outcome: OwnerOutcome): RunResult | undefined {
  switch (outcome.kind) {
    case 'answer':
      return outcome.status >= FIRST_FAILED_STATUS ? RunResult.Failed : RunResult.Answered;
    case 'not-run':
      return undefined;
    case 'unknown':
      return UNKNOWN_ENDS[outcome.reason];
  }
}

/** What was lost on the way to this node tells nothing. */
const UNKNOWN_ENDS = {
  'connection-lost': RunResult.ConnectionLost,
  'foreign-answer': RunResult.Failed,
  'spoilt-answer': RunResult.Failed,
  cancelled: RunResult.Cancelled,
  'peer-lost': undefined,
  'body-lost': undefined,
} as const;
