/**
 * Decides at an owner which tasks run, wait or are turned away. The back end
 * never gets more than its slots. A task waits only while it can still be
 * answered within its target latency; the most urgent go first, among equals
 * tenants take turns.
 */

import {
  createCallScheduler,
  rankOf,
  type SchedulingContext,
  type WaitingTask,
} from './callScheduler.js';
import { createPriorityLoad } from './priorityLoad.js';
import { drainMs, type QueueWaitContext, queueWaitMs } from './queueWait.js';
import { createServiceTimes, type ServiceTimes } from './serviceTimes.js';
import { createTenantFairness, type TenantFairness, type TenantShare } from './tenantFairness.js';

/** What a task asks for. */
export interface AdmissionRequest {
  readonly route: string;
  /** Undefined for calls of back ends and without tenants. */
  readonly tenant?: string | undefined;
  readonly priority: number;
  /** Steady time in milliseconds until which an answer is worth most. */
  readonly targetAt: number;
  readonly deadlineAt: number;
  /** False if the task is turned away unless a slot is free. */
  readonly mayWait: boolean;
  /** True if nothing else may run beside the task. */
  readonly isExclusive?: boolean;
  /** True if a running back end waits for the answer. */
  readonly isCall?: boolean;
}

/** What is told of a task that begins. */
export type StartedTask = Pick<AdmissionRequest, 'tenant' | 'isExclusive' | 'isCall'>;

/** What is told of a task that has ended. */
export type AdmittedTask = Pick<AdmissionRequest, 'route' | 'priority' | 'isExclusive' | 'isCall'>;

/** A task that waits. */
export interface Waiter {
  readonly request: AdmissionRequest;
  readonly since: number;
  /** Called once when the task may run. */
  admit(): void;
  /** Called once when the task is turned away after all. */
  reject(retryAfterMs: number): void;
}

/** A task in the queue. */
interface QueuedTask {
  readonly waiter: Waiter;
  /** True if it waits behind those of other tenants that are equally urgent. */
  readonly isOverShare: boolean;
}

/** The answer to a task's arrival. */
export type AdmissionDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'busy'; readonly retryAfterMs: number };

/** Waiting tasks for each slot, at the most. */
const MAX_WAITING_PER_SLOT = 8;

/** Shortest time, in milliseconds, after which a client is told to come back. */
const MIN_RETRY_AFTER_MS = 20;

/** Owned by the local owner; the time is passed in. */
export class AdmissionControl {
  /** In order of rank, then those that are not behind, then of arrival. */
  private readonly waiting: QueuedTask[] = [];
  private readonly tenantFairness: TenantFairness;
  private readonly priorityLoad = createPriorityLoad();
  private readonly callScheduler = createCallScheduler();
  private running = 0;
  private slots = 0;
  private isRunningExclusive = false;

  constructor(
    private readonly times: ServiceTimes = createServiceTimes(),
    shareOf: TenantShare = () => 1,
  ) {
    this.tenantFairness = createTenantFairness(shareOf);
  }

  get inFlight(): number {
    return this.running;
  }

  get queued(): number {
    return this.waiting.length;
  }

  /**
   * Moving average of the time that the back end takes for a task, in
   * milliseconds; undefined until it has finished one.
   */
  get meanServiceMs(): number | undefined {
    return this.times.meanMs;
  }

  get capacity(): number {
    return this.slots;
  }

  /** Sets the number of tasks that may run at once. */
  setSlots(slots: number, now: number): void {
    this.slots = slots;
    this.fill(now);
  }

  /** Decides about a task; the caller adds a waiter after `wait`. */
  decide(request: AdmissionRequest, now: number): AdmissionDecision {
    const [first] = this.waiting;
    // Equals that wait go first.
    const isFirst = !first || rankOf(first.waiter.request) > rankOf(request);
    if (isFirst && this.hasRoomFor(request)) {
      return { kind: 'run' };
    }
    const isBehind = this.tenantFairness.isOverShare(request.tenant, now);
    const isFull = this.isFull && !this.displacedBy(request, isBehind);
    const ahead = this.placeOf(request, isBehind);
    if (!request.mayWait || !this.isInTime(request, ahead, now) || isFull) {
      return { kind: 'busy', retryAfterMs: this.retryAfterMs() };
    }
    return { kind: 'wait' };
  }

  /** A task begins to run. */
  noteStarted({ tenant, isExclusive = false, isCall = false }: StartedTask, now: number): void {
    this.running += 1;
    this.callScheduler.noteStarted({ isCall });
    this.isRunningExclusive = isExclusive;
    this.tenantFairness.note(tenant, now);
  }

  /**
   * A task has ended; `serviceMs` is undefined when its time says nothing of the back end, and `slowness`
   * is what the back end told meanwhile.
   */
  noteFinished(task: AdmittedTask, serviceMs: number | undefined, now: number, slowness = 1): void {
    const { route } = task;
    this.running -= 1;
    this.callScheduler.noteEnded(task);
    this.isRunningExclusive = false;
    if (serviceMs !== undefined) {
      this.priorityLoad.note(rankOf(task), serviceMs);
      this.times.note(route, serviceMs, slowness);
    }
    this.fill(now);
  }

  /** Adds a task after `wait`; another tenant's task may have to give up its place for it. */
  enqueue(waiter: Waiter): void {
    const { tenant } = waiter.request;
    const isOverShare = this.tenantFairness.isOverShare(tenant, waiter.since);
    const displaced = this.displacedBy(waiter.request, isOverShare);
    const wasFull = this.isFull;
    this.waiting.splice(this.placeOf(waiter.request, isOverShare), 0, { waiter, isOverShare });
    if (displaced && (wasFull || !this.isStillInTime(displaced, waiter.since))) {
      this.remove(displaced);
      displaced.reject(this.retryAfterMs());
    }
  }

  /** Takes back a task that no longer wants to run. */
  remove(waiter: Waiter): void {
    const index = this.waiting.findIndex((queued) => queued.waiter === waiter);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
  }

  /** Turns away every task that waits. */
  rejectAllWaiting(): void {
    for (const { waiter } of this.waiting.splice(0)) {
      waiter.reject(MIN_RETRY_AFTER_MS);
    }
  }

  /** Milliseconds after which there is likely to be room. */
  retryAfterMs(): number {
    return Math.max(MIN_RETRY_AFTER_MS, drainMs(requestsOf(this.waiting), this.context));
  }

  private turnContext(now: number): SchedulingContext {
    const latestStartAt: SchedulingContext['latestStartAt'] = (request) =>
      this.latestStartAt(request);
    return { slots: this.slots, now, latestStartAt };
  }

  private hasRoomFor({ isExclusive }: AdmissionRequest): boolean {
    const limit = isExclusive ? Math.min(1, this.slots) : this.slots;
    return this.running < limit && !this.isRunningExclusive;
  }

  /** A task that runs alone holds up those behind it until the back end has nothing else to do. */
  private fill(now: number): void {
    for (;;) {
      const next = this.callScheduler.next(
        this.waiting.map(({ waiter }) => waiter),
        this.turnContext(now),
      );
      if (!next || !this.hasRoomFor(next.request)) {
        return;
      }
      this.remove(next);
      if (now > this.latestStartAt(next.request)) {
        next.reject(this.retryAfterMs());
      } else {
        next.admit();
      }
    }
  }

  private get isFull(): boolean {
    return this.waiting.length >= this.slots * MAX_WAITING_PER_SLOT;
  }

  /** The task that this one may push out: the last equally urgent one, if that is behind its tenant's share and this one is not. */
  private displacedBy({ priority }: AdmissionRequest, isBehind: boolean): Waiter | undefined {
    const last = this.waiting.findLast(({ waiter }) => waiter.request.priority === priority);
    return !isBehind && last?.isOverShare ? last.waiter : undefined;
  }

  private isStillInTime(waiter: Waiter, now: number): boolean {
    const ahead = this.waiting.findIndex((queued) => queued.waiter === waiter);
    return this.isInTime(waiter.request, ahead, now);
  }

  private isInTime(request: AdmissionRequest, ahead: number, now: number): boolean {
    const aloneMs = request.isExclusive ? this.times.overallMs : 0;
    const waitMs = Math.max(this.expectedWaitMs(request, ahead), aloneMs);
    return now + waitMs + this.expectedServiceMs(request.route) <= horizonOf(request);
  }

  private expectedWaitMs(request: AdmissionRequest, ahead: number): number {
    return queueWaitMs(request, requestsOf(this.waiting.slice(0, ahead)), this.context);
  }

  private get context(): QueueWaitContext {
    return { slots: this.slots, times: this.times, priorityLoad: this.priorityLoad };
  }

  /** Milliseconds that the back end is expected to take for a task of a route. */
  expectedServiceMs(route: string): number {
    return this.times.expectedMs(route);
  }

  /** Steady time in milliseconds by which a task must have begun to be in time. */
  latestStartAt(request: WaitingTask['request']): number {
    return horizonOf(request) - this.expectedServiceMs(request.route);
  }

  /** How many go before a task that comes. */
  private placeOf(request: AdmissionRequest, isBehind: boolean): number {
    const rank = rankOf(request);
    const goesAfter = ({ waiter, isOverShare: other }: QueuedTask): boolean => {
      const otherRank = rankOf(waiter.request);
      return otherRank > rank || (otherRank === rank && other && !isBehind);
    };
    const place = this.waiting.findIndex(goesAfter);
    return place < 0 ? this.waiting.length : place;
  }
}

/** A task that can no longer meet its target is not worth a slot that others can use in time. */
function horizonOf(request: Pick<AdmissionRequest, 'targetAt' | 'deadlineAt'>): number {
  return Math.min(request.targetAt, request.deadlineAt);
}

function requestsOf(queued: readonly QueuedTask[]): AdmissionRequest[] {
  return queued.map(({ waiter }) => waiter.request);
}
