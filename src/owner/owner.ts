/**
 * An owner is the node on the same machine as a back end; requests reach the back end only through
 * it. The ingress passes a task to an owner, in the same process or over the network. The outcome
 * says whether the task was answered, certainly has not run, or may have run.
 */

import type { RequestKey } from '../quarantine/crashTracker.js';
import type { Cancellation } from './cancellation.js';
import type { BytesBody, MessageBody } from './message-body.js';

/** A request for a back end of one service. */
export interface OwnerTask {
  readonly requestId: string;
  readonly method: string;
  /** Equal for identical requests; see `fingerprintOf`. */
  readonly fingerprint: string;
  /** Path and query exactly as the client sent them. */
  readonly target: string;
  /** End-to-end header fields as a flat list of names and values. */
  readonly headers: readonly string[];
  readonly service: string;
  readonly route: string;
  /** Service that runs on the machine where the request began. */
  readonly callerService: string;
  /**
   * Name of the tenant whose key the request carries. Undefined for calls, on public routes and if
   * no tenants are configured.
   */
  readonly tenant: string | undefined;
  /** 0 is the most urgent; see `priorityOf`. */
  readonly priority: number;
  /** True if a back end may run the request more than once. */
  readonly repeatable: boolean;
  /** Steady time in milliseconds after which nobody waits for an answer. */
  readonly deadlineAt: number;
  /** Steady time in milliseconds until which an answer is in time. */
  readonly targetAt: number;
  readonly hasBody: boolean;
  /**
   * False if the task must be rejected unless a slot is free. Such a task comes from
   * another zone, whose own owners are up: waiting in this zone has no advantage over
   * waiting in that one.
   */
  readonly mayWait: boolean;
  readonly cancellation: Cancellation;
  /** The body, if it is fully buffered and so can be sent more than once. */
  readonly bufferedBody: BytesBody | undefined;
  /** Loads the body. Called at most once, after the task has been admitted. */
  loadBody(): Promise<MessageBody>;
  /** Called when an owner has queued or admitted the task, or when the task has become silent. */
  onProgress(stage: TaskStage): void;
}

/**
 * Progress of a task at an owner. `silent`: the owner has the task but no longer confirms that it
 * is up, or its back end does not seem to answer. An answer may still arrive.
 */
export type TaskStage = 'queued' | 'admitted' | 'silent';

/** Why a task was certainly not run. */
export type NotRunReason =
  | 'busy'
  /** The limit that the back end has named allows no further request now. */
  | 'limited'
  | 'no-back-end'
  | 'draining'
  | 'stopping'
  | 'other-service'
  | 'expired'
  | 'cancelled'
  | 'connect-failed'
  | 'rejected-by-back-end'
  | 'other-instance'
  | 'peer-unreachable'
  | 'peer-silent'
  /**
   * The request has crashed back ends and must run alone, but this owner hadn't admitted it that
   * way.
   */
  | 'suspect'
  /** A back end crashed while only this request ran, after an earlier crash of it was known. */
  | 'quarantined';

/** Why it is not known whether a task was run. */
export type UnknownReason =
  | 'connection-lost'
  | 'foreign-answer'
  | 'spoilt-answer'
  | 'cancelled'
  /** Cancelled in the middle of its answer, while the back end waited for the reader. */
  | 'unread'
  | 'peer-lost'
  | 'body-lost';

/** What every outcome may add. */
interface OutcomeDetails {
  /** True if the owner counts the task's route as one that running back ends call. */
  readonly isCall?: boolean | undefined;
}

/** A back end's complete answer, or its verified beginning if it is long. */
export interface OwnerAnswer extends OutcomeDetails {
  readonly kind: 'answer';
  readonly status: number;
  /** End-to-end header fields as a flat list of names and values. */
  readonly headers: readonly string[];
  readonly body: MessageBody;
  /**
   * The end of a streamed body: resolves with undefined when its last byte has been read, or with
   * the reason if it breaks off. Never rejects. Undefined for a buffered body, which is whole.
   */
  readonly end?: Promise<UnknownReason | undefined> | undefined;
}

/** The task has not run and never will. */
export interface OwnerNotRun extends OutcomeDetails {
  readonly kind: 'not-run';
  readonly reason: NotRunReason;
  /** True if the task reached a back end, which rejected it. */
  readonly arrived: boolean;
  /** Milliseconds after which the owner expects to have room. Undefined if it has no estimate. */
  readonly retryAfterMs?: number;
}

/** The task may have run. */
export interface OwnerUnknown extends OutcomeDetails {
  readonly kind: 'unknown';
  readonly reason: UnknownReason;
}

export type OwnerOutcome = OwnerAnswer | OwnerNotRun | OwnerUnknown;

/** Runs tasks on one back end. */
export interface Owner {
  /** Resolves once and never rejects. */
  run(task: OwnerTask): Promise<OwnerOutcome>;
  /** Releases the resources that are kept for later tasks. */
  close?(): void;
}

/**
 * The key of a task in the crash tracker. It includes the tenant, since the back end distinguishes
 * tenants too: no tenant can cause the identical requests of another tenant to be refused.
 */
export function crashKeyOf(
  task: Pick<OwnerTask, 'fingerprint' | 'callerService' | 'tenant'>,
): RequestKey {
  const { fingerprint, callerService, tenant } = task;
  return {
    fingerprint,
    caller: tenant === undefined ? callerService : `${tenant}@${callerService}`,
  };
}

/** Creates the outcome for a task that was rejected before it reached a back end. */
export function createRejection(reason: NotRunReason, retryAfterMs?: number): OwnerNotRun {
  return {
    kind: 'not-run',
    reason,
    arrived: false,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}
