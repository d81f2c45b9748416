/** Derives from an ended task the run that a roll-out counts for the back end's version. */
import type { BackEnd } from '../registry/back-end-registry.js';
import { isSameIncarnation } from '../registry/backEndIncarnation.js';
import { type BackEndRun, RunResult } from '../rollout/runCounts.js';
import type { OwnerOutcome, OwnerTask } from './owner.js';

const FIRST_FAILED_STATUS = 500;

/** A task that was sent to the back end and has ended. */
export interface EndedCall {
  readonly task: Pick<OwnerTask, 'route'>;
  /** Back end to which the task was sent. */
  readonly backEnd: BackEnd;
  /** Back end that is present now: a back end may report its version after it has become ready. */
  readonly currentBackEnd: BackEnd | undefined;
  readonly outcome: OwnerOutcome;
  readonly tookMs: number;
  /** Current time on the clock of `coldUntil`. */
  readonly now: number;
}

/** Undefined if the outcome gives no result for the back end's version. */
export function backEndRunOf(call: EndedCall): BackEndRun | undefined {
  const { task, currentBackEnd, outcome, tookMs, now } = call;
  const backEnd =
    currentBackEnd && isSameIncarnation(currentBackEnd, call.backEnd)
      ? currentBackEnd
      : call.backEnd;
  const result = runResultOf(outcome);
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

function runResultOf(outcome: OwnerOutcome): RunResult | undefined {
  switch (outcome.kind) {
    case 'answer':
      return outcome.status >= FIRST_FAILED_STATUS ? RunResult.Failed : RunResult.Answered;
    case 'not-run':
      return undefined;
    case 'unknown':
      return RESULT_BY_UNKNOWN_REASON[outcome.reason];
  }
}

/**
 * Losses on the way between nodes (`peer-lost`, `body-lost`) and answers that are not read give no
 * result for the back end.
 */
const RESULT_BY_UNKNOWN_REASON = {
  'connection-lost': RunResult.ConnectionLost,
  'foreign-answer': RunResult.Failed,
  'spoilt-answer': RunResult.Failed,
  cancelled: RunResult.Cancelled,
  unread: undefined,
  'peer-lost': undefined,
  'body-lost': undefined,
} as const;
