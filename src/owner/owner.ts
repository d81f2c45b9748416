/**
 * An owner is the node beside a back end and the only gate to it. The ingress
 * hands a task to an owner, in the same process or over the network, and learns
 * exactly what is known about its fate.
 */

import type { RequestKey } from '../quarantine/crashTracker.js';
import type { Cancellation } from './cancellation.js';
import type { BytesBody, MessageBody } from './message-body.js';

/** A request on its way to a back end of one service. */
export interface OwnerTask {
  readonly requestId: string;
  readonly method: string;
  /** Tells requests that are the same, see `fingerprintOf`. */
  readonly fingerprint: string;
  /** Path and query exactly as the client sent them. */
  readonly target: string;
  /** End-to-end header fields as a flat list of names and values. */
  readonly headers: readonly string[];
  readonly service: string;
  readonly route: string;
  /** Service that runs on the machine where the request began. */
  readonly callerService: string;
  /** Name of the tenant whose key the request carries; undefined for calls, public routes and without tenants. */
  readonly tenant: string | undefined;
  /** 0 is the most urgent; see `priorityOf`. */
  readonly priority: number;
  /** True if a back end may run the request more than once. */
  readonly repeatable: boolean;
  /** Steady time in milliseconds after which nobody waits for an answer. */
  readonly deadlineAt: number;
  /** Steady time in milliseconds until which an answer is worth most. */
  readonly targetAt: number;
  readonly hasBody: boolean;
  /**
   * False if the task is to be turned away unless a slot is free: it comes from a
   * zone whose own owners are up, so waiting here would only change places.
   */
  readonly mayWait: boolean;
  readonly cancellation: Cancellation;
  /** The body, if it is held whole and can so be sent more than once. */
  readonly bufferedBody: BytesBody | undefined;
  /** Gives the body. Called once at the most, after the task has been admitted. */
  loadBody(): Promise<MessageBody>;
  /** Called when an owner has queued or admitted the task, or is not heard of any longer. */
  onProgress(stage: TaskStage): void;
}

/**
 * How far a task has come at an owner. `silent`: the owner has the task and does not say that it is
 * there, or its back end does not seem to answer; an answer may still come.
 */
export type TaskStage = 'queued' | 'admitted' | 'silent';

/** Why a task was certainly not run. */
export type NotRunReason =
  | 'busy'
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
  /** It has crashed back ends, and runs alone on one of them: this owner has not admitted it so. */
  | 'suspect'
  /** It has crashed a back end alone. */
  | 'quarantined';

/** Why it is not known whether a task was run. */
export type UnknownReason =
  | 'connection-lost'
  | 'foreign-answer'
  | 'spoilt-answer'
  | 'cancelled'
  | 'peer-lost'
  | 'body-lost';

/** A back end's whole answer, or its verified beginning when it is long. */
export interface OwnerAnswer {
  readonly kind: 'answer';
  readonly status: number;
  /** End-to-end header fields as a flat list of names and values. */
  readonly headers: readonly string[];
  readonly body: MessageBody;
}

/** The task has not run and never will. */
export interface OwnerNotRun {
  readonly kind: 'not-run';
  readonly reason: NotRunReason;
  /** True if the task reached a back end, which turned it away. */
  readonly arrived: boolean;
  /** Milliseconds after which the owner expects to have room, if it knows. */
  readonly retryAfterMs?: number;
}

/** The task may have run. */
export interface OwnerUnknown {
  readonly kind: 'unknown';
  readonly reason: UnknownReason;
}

export type OwnerOutcome = OwnerAnswer | OwnerNotRun | OwnerUnknown;

/** Runs tasks on one back end. */
export interface Owner {
  /** Resolves once; never rejects. */
  run(task: OwnerTask): Promise<OwnerOutcome>;
  /** Gives up what is kept for tasks to come. */
  close?(): void;
}

/**
 * What the memory of crashes knows a task by. Tenants that send the same bytes are told apart, as the back
 * end tells them apart: no tenant can have the requests of another one refused.
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

/** Builds the outcome for a task that was turned away before it reached a back end. */
export function createRejection(reason: NotRunReason, retryAfterMs?: number): OwnerNotRun {
  return {
    kind: 'not-run',
    reason,
    arrived: false,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}
