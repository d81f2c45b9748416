/**
 * How nodes hand tasks to one another: HTTP/1.1, one exchange a connection at a
 * time. The owner answers 102 when a task waits and 100 when it has admitted it
 * (RFC 9110, section 10.1.1); only then does the ingress send the end of the
 * body, so until then the owner cannot have run the task, and a silent owner
 * costs nothing of any budget.
 */

import type { NotRunReason, OwnerNotRun, OwnerTask, OwnerUnknown } from '../owner/owner.js';
import type { OwnerReport } from '../owner/owner-report.js';

/** What is asked of a node: a {@link PeerCall}. */
export const CALL_FIELD = 'spindlepaddle-peer-call';

/** Fields of a task. */
export const TASK_FIELD = 'spindlepaddle-peer-task';

/** The sender: its address for other nodes and its configuration version. */
export const SENDER_FIELD = 'spindlepaddle-peer-sender';

/** Fate of a task. */
export const OUTCOME_FIELD = 'spindlepaddle-peer-outcome';

/** Report of the answering owner. */
export const REPORT_FIELD = 'spindlepaddle-peer-report';

/** A report tells shares in whole parts of a hundred. */
const PERCENT = 100;

/** Kinds of call between nodes. */
export type PeerCall = 'task' | 'status' | 'configuration' | 'directory';

/** What travels of a task beside its own method, target, fields and body. */
export interface TaskFields {
  readonly service: string;
  readonly route: string;
  readonly callerService: string;
  readonly priority: number;
  readonly repeatable: boolean;
  readonly hasBody: boolean;
  /** Milliseconds that are left. */
  readonly remainingMs: number;
  /** Milliseconds until the target latency. */
  readonly targetMs: number;
  readonly requestId: string;
  readonly mayWait: boolean;
}

/** Who sends a message. */
export interface PeerSender {
  readonly address: string;
  readonly version: number;
}

/** A report with the sender's configuration version. */
export interface PeerReport extends OwnerReport {
  readonly version: number;
}

/** Renders the fields of a task. */
export function encodeTask(task: OwnerTask, now: number): string {
  return join([
    task.service,
    task.route,
    task.callerService,
    task.priority,
    flag(task.repeatable),
    flag(task.hasBody),
    Math.floor(task.deadlineAt - now),
    Math.floor(task.targetAt - now),
    task.requestId,
    flag(task.mayWait),
  ]);
}

/** Reads the fields of a task; undefined when they cannot be read. */
export function decodeTask(text: string): TaskFields | undefined {
  const [
    service,
    route,
    caller,
    priority,
    repeatable,
    hasBody,
    remaining,
    target,
    requestId,
    wait,
  ] = split(text);
  if (service === undefined || requestId === undefined) {
    return undefined;
  }
  return {
    service,
    route: route ?? '',
    callerService: caller ?? '',
    priority: Number(priority),
    repeatable: repeatable === '1',
    hasBody: hasBody === '1',
    remainingMs: Number(remaining),
    targetMs: Number(target),
    requestId,
    mayWait: wait !== '0',
  };
}

export function encodeSender(sender: PeerSender): string {
  return join([sender.address, sender.version]);
}

export function decodeSender(text: string): PeerSender | undefined {
  const [address, version] = split(text);
  return address ? { address, version: Number(version) || 0 } : undefined;
}

export function encodeReport(report: PeerReport): string {
  return join([
    report.service ?? '',
    flag(report.ready),
    report.inFlight,
    report.queued,
    report.slots,
    report.meanServiceMs === undefined ? '' : Math.round(report.meanServiceMs),
    report.version,
    Math.round(report.failureShare * PERCENT),
  ]);
}

export function decodeReport(text: string): PeerReport | undefined {
  const [service, ready, inFlight, queued, slots, meanServiceMs, version, failed] = split(text);
  if (version === undefined) {
    return undefined;
  }
  return {
    service: service || undefined,
    ready: ready === '1',
    inFlight: Number(inFlight),
    queued: Number(queued),
    slots: Number(slots),
    meanServiceMs: meanServiceMs ? Number(meanServiceMs) : undefined,
    version: Number(version),
    failureShare: (Number(failed) || 0) / PERCENT,
  };
}

/** Renders the fate of a task that has no answer; an answer is `answer`. */
export function encodeOutcome(outcome: OwnerNotRun | OwnerUnknown): string {
  if (outcome.kind === 'unknown') {
    return join(['unknown', outcome.reason]);
  }
  const retryAfter = outcome.retryAfterMs === undefined ? '' : Math.ceil(outcome.retryAfterMs);
  return join(['not-run', outcome.reason, flag(outcome.arrived), retryAfter]);
}

/** Marks an answer of a back end. */
export const ANSWER_OUTCOME = 'answer';

/** Reads the fate of a task that has no answer. */
export function decodeOutcome(text: string): OwnerNotRun | OwnerUnknown {
  const [kind, reason, arrived, retryAfter] = split(text);
  if (kind !== 'not-run') {
    return { kind: 'unknown', reason: (reason || 'peer-lost') as OwnerUnknown['reason'] };
  }
  return {
    kind: 'not-run',
    reason: reason as NotRunReason,
    arrived: arrived === '1',
    ...(retryAfter ? { retryAfterMs: Number(retryAfter) } : {}),
  };
}

function join(values: readonly (string | number)[]): string {
  return values.map((value) => encodeURIComponent(String(value))).join(';');
}

function split(text: string): string[] {
  return text.split(';').map(decodeSafely);
}

function decodeSafely(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return '';
  }
}

function flag(value: boolean): string {
  return value ? '1' : '0';
}
