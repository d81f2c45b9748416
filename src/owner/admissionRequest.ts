/** Tasks and waiting tasks as the admission control sees them, and its decisions about them. */

/** The properties of a task that admission depends on. */
export interface AdmissionRequest {
  readonly route: string;
  /** Undefined for calls of back ends and if no tenants are configured. */
  readonly tenant?: string | undefined;
  readonly priority: number;
  /** Steady time in milliseconds until which an answer is worth most. */
  readonly targetAt: number;
  readonly deadlineAt: number;
  /** False if the task must be rejected unless a slot is free. */
  readonly mayWait: boolean;
  /** True if no other task may run at the same time. */
  readonly isExclusive?: boolean;
  /** True if a running back end waits for the answer. */
  readonly isCall?: boolean;
}

/** The properties of a task that are recorded when it starts. */
export type StartedTask = Pick<AdmissionRequest, 'tenant' | 'isExclusive' | 'isCall'>;

/** The properties of a task that are recorded when it has ended. */
export type AdmittedTask = Pick<AdmissionRequest, 'route' | 'priority' | 'isExclusive' | 'isCall'>;

/** A waiting task and its callbacks. */
export interface Waiter {
  readonly request: AdmissionRequest;
  /** Steady time in milliseconds at which the task began to wait. */
  readonly since: number;
  /** Called once when the task may run. */
  admit(): void;
  /** Called once when the task is rejected after waiting. */
  reject(retryAfterMs: number): void;
}

/** Why no task can start now: all slots are in use, or the limit allows none. */
export type FullReason = 'busy' | 'limited';

/** The decision about a task that has arrived. */
export type AdmissionDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'busy'; readonly reason: FullReason; readonly retryAfterMs: number };
