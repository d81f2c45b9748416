/**
 * Decides which tasks an owner runs, queues or rejects. The back end never runs more tasks than it
 * has slots, and never gets more per second than its limit allows. A task waits only while it can
 * still be answered within its target latency. The queue is in order of rank (see `rankOf`). Within
 * a rank, tenants that have used more than their share come last.
 */

import type {
  AdmissionDecision,
  AdmissionRequest,
  AdmittedTask,
  FullReason,
  StartedTask,
  Waiter,
} from './admissionRequest.js';
import { type BackEndLimit, NO_LIMIT } from './backEndLimit.js';
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

/** A task in the queue. */
interface QueuedTask {
  readonly waiter: Waiter;
  /** True if the task waits behind other tenants' tasks of the same rank. */
  readonly isOverShare: boolean;
}

/** Maximum number of waiting tasks per slot. */
const MAX_WAITING_PER_SLOT = 8;

/**
 * Longest time, in milliseconds, that a task waits for the limit of the back end. More urgent tasks
 * that keep arriving may take its turn, so a longer wait may be in vain.
 */
const MAX_LIMIT_WAIT_MS = 100;

/** Minimum time, in milliseconds, after which a rejected task may be offered again. */
const MIN_RETRY_AFTER_MS = 20;

/** The local owner has one. The current steady time in milliseconds is passed in. */
export class AdmissionControl {
  /** Ordered by rank, then tenants within their share before those over it, then by arrival. */
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
    private readonly limit: BackEndLimit = NO_LIMIT,
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
   * milliseconds. Undefined until it has finished one.
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
    this.startWaiting(now);
  }

  /** Decides about a task. After `wait`, the caller must enqueue a waiter. */
  decide(request: AdmissionRequest, now: number): AdmissionDecision {
    const [first] = this.waiting;
    // Waiting tasks of the same rank go first.
    const isFirst = !first || rankOf(first.waiter.request) > rankOf(request);
    if (isFirst && this.hasRoomFor(request, now)) {
      return { kind: 'run' };
    }
    const isOverShare = this.tenantFairness.isOverShare(request.tenant, now);
    const isFull = this.isFull && !this.displacedBy(request, isOverShare);
    const ahead = this.positionOf(request, isOverShare);
    const isLimited = this.limit.waitMs(ahead, now) > MAX_LIMIT_WAIT_MS;
    if (!request.mayWait || !this.isInTime(request, ahead, now) || isFull || isLimited) {
      return { kind: 'busy', reason: this.fullReason(now), retryAfterMs: this.retryAfterMs(now) };
    }
    return { kind: 'wait' };
  }

  /** Records that a task has started. */
  noteStarted({ tenant, isExclusive = false, isCall = false }: StartedTask, now: number): void {
    this.running += 1;
    this.limit.take(now);
    this.callScheduler.noteStarted({ isCall });
    this.isRunningExclusive = isExclusive;
    this.tenantFairness.note(tenant, now);
  }

  /**
   * Records that a task has ended. `serviceMs` is undefined if the time does not measure the back
   * end. `slowness` is the slowness that the back end reported while the task ran.
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
    this.startWaiting(now);
  }

  /** Adds a task after `wait`. It may displace a task of a tenant that is over its share. */
  enqueue(waiter: Waiter): void {
    const { tenant } = waiter.request;
    const isOverShare = this.tenantFairness.isOverShare(tenant, waiter.since);
    const displaced = this.displacedBy(waiter.request, isOverShare);
    const wasFull = this.isFull;
    this.waiting.splice(this.positionOf(waiter.request, isOverShare), 0, { waiter, isOverShare });
    if (displaced && (wasFull || !this.isStillInTime(displaced, waiter.since))) {
      this.remove(displaced);
      displaced.reject(this.retryAfterMs(waiter.since));
    }
  }

  /** Removes a task from the queue, for example a cancelled one. */
  remove(waiter: Waiter): void {
    const index = this.waiting.findIndex((queued) => queued.waiter === waiter);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
  }

  /** Rejects every waiting task. */
  rejectAllWaiting(): void {
    for (const { waiter } of this.waiting.splice(0)) {
      waiter.reject(MIN_RETRY_AFTER_MS);
    }
  }

  /** Milliseconds after which a task that arrives now is expected to find room. */
  retryAfterMs(now: number): number {
    return Math.max(MIN_RETRY_AFTER_MS, this.slotWaitMs, this.limitWaitMs(now));
  }

  /** Milliseconds until the limit allows a task that arrives now. */
  limitWaitMs(now: number): number {
    return this.limit.waitMs(this.waiting.length, now);
  }

  /** The reason for which a task that arrives now is rejected. */
  fullReason(now: number): FullReason {
    const slotWaitMs = this.running < this.slots ? 0 : this.slotWaitMs;
    return this.limitWaitMs(now) > slotWaitMs ? 'limited' : 'busy';
  }

  private get slotWaitMs(): number {
    return drainMs(requestsOf(this.waiting), this.context);
  }

  private schedulingContext(now: number): SchedulingContext {
    const latestStartAt: SchedulingContext['latestStartAt'] = (request) =>
      this.latestStartAt(request);
    return { slots: this.slots, now, latestStartAt };
  }

  private hasRoomFor({ isExclusive }: AdmissionRequest, now: number): boolean {
    const maxRunning = Math.min(this.slots, isExclusive ? 1 : this.limit.maxRunning);
    const hasSlot = this.running < maxRunning && !this.isRunningExclusive;
    return hasSlot && this.limit.waitMs(0, now) === 0;
  }

  /** Starts waiting tasks. An exclusive task blocks those behind it until the back end is idle. */
  startWaiting(now: number): void {
    for (;;) {
      const next = this.callScheduler.next(
        this.waiting.map(({ waiter }) => waiter),
        this.schedulingContext(now),
      );
      if (!next || !this.hasRoomFor(next.request, now)) {
        return;
      }
      this.remove(next);
      if (now > this.latestStartAt(next.request)) {
        next.reject(this.retryAfterMs(now));
      } else {
        next.admit();
      }
    }
  }

  /** Rejects the waiting tasks for which the limit has become too low. */
  rejectLimited(now: number): void {
    const isTooLate = (position: number) => this.limit.waitMs(position, now) > MAX_LIMIT_WAIT_MS;
    while (this.waiting.length > 0 && isTooLate(this.waiting.length - 1)) {
      this.waiting.pop()?.waiter.reject(this.retryAfterMs(now));
    }
  }

  private get isFull(): boolean {
    return this.waiting.length >= this.slots * MAX_WAITING_PER_SLOT;
  }

  /**
   * The task that the request may displace: the last one of the same priority, if its tenant is
   * over its share and the tenant of the request is not.
   */
  private displacedBy({ priority }: AdmissionRequest, isOverShare: boolean): Waiter | undefined {
    const last = this.waiting.findLast(({ waiter }) => waiter.request.priority === priority);
    return !isOverShare && last?.isOverShare ? last.waiter : undefined;
  }

  private isStillInTime(waiter: Waiter, now: number): boolean {
    const ahead = this.waiting.findIndex((queued) => queued.waiter === waiter);
    return this.isInTime(waiter.request, ahead, now);
  }

  private isInTime(request: AdmissionRequest, ahead: number, now: number): boolean {
    const aloneMs = request.isExclusive ? this.times.overallMs : 0;
    const waitMs = Math.max(this.expectedWaitMs(request, ahead), aloneMs);
    return now + waitMs + this.expectedServiceMs(request.route) <= latestEndAt(request);
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

  /** Steady time in milliseconds by which a task must start to meet its target. */
  latestStartAt(request: WaitingTask['request']): number {
    return latestEndAt(request) - this.expectedServiceMs(request.route);
  }

  /** Position of an arriving task: the number of waiting tasks that go first. */
  private positionOf(request: AdmissionRequest, isOverShare: boolean): number {
    const rank = rankOf(request);
    const goesAfter = ({ waiter, isOverShare: isOtherOverShare }: QueuedTask): boolean => {
      const otherRank = rankOf(waiter.request);
      return otherRank > rank || (otherRank === rank && isOtherOverShare && !isOverShare);
    };
    const position = this.waiting.findIndex(goesAfter);
    return position < 0 ? this.waiting.length : position;
  }
}

/**
 * Steady time in milliseconds by which a task must have ended. A task that can no longer meet its
 * target gets no slot, as other tasks can still use the slot in time.
 */
function latestEndAt(request: Pick<AdmissionRequest, 'targetAt' | 'deadlineAt'>): number {
  return Math.min(request.targetAt, request.deadlineAt);
}

function requestsOf(queued: readonly QueuedTask[]): AdmissionRequest[] {
  return queued.map(({ waiter }) => waiter.request);
}
