/**
 * Decides at an owner which tasks run, wait or are turned away. The back end
 * never gets more than its slots. A task waits only while it can still be
 * answered within its target latency; the most urgent go first.
 */

import {
  type AdmissionRequest,
  type AdmittedTask,
  firstRankOf,
  horizonOf,
  rankOf,
} from './admissionRequest.js';
import { createServiceTimes, type ServiceTimes } from './serviceTimes.js';
import { createUrgencyMix } from './urgencyMix.js';

/** A task that waits. */
export interface Waiter {
  readonly request: AdmissionRequest;
  readonly since: number;
  /** Called once when the task may run. */
  admit(): void;
  /** Called once when the task is turned away after all. */
  turnAway(retryAfterMs: number): void;
}

/** The answer to a task's arrival. */
export type AdmissionDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'busy'; readonly retryAfterMs: number };

/** Waiting tasks for each slot, at the most. */
const MAX_WAITING_PER_SLOT = 8;

/**
 * A wait of this part of the time that is left is short: where work takes very uneven times, it is
 * these and not the wait that decide whether the task is in time, at this owner as at any other.
 */
const SHORT_WAIT_SHARE = 0.2;

/**
 * Part of the slots that calls of running back ends may take before the service's own clients of the
 * same rank: the rest is left to these, so that callers cannot crowd them out.
 */
const CALLS_SHARE = 0.75;

/** Who has become hopeless is looked for this often at the most, in milliseconds: it costs a walk. */
const HOPELESS_CHECK_MS = 20;

/**
 * A task leaves the queue once its expected wait is this many times what it can wait: the expectation
 * is taken from averages, and who is just beyond it may still be served.
 */
const HOPELESS_FACTOR = 1.25;

/** Shortest time, in milliseconds, after which a client is told to come back. */
const MIN_RETRY_AFTER_MS = 20;

/** Owned by the local owner; the time is passed in. */
export class AdmissionControl {
  private readonly waiting: Waiter[] = [];
  private readonly mix = createUrgencyMix();
  private running = 0;
  private slots = 0;
  private hasAloneTask = false;
  private runningCalls = 0;
  private hopelessCheckedAt = Number.NEGATIVE_INFINITY;
  /** Running tasks by route. */
  private readonly runningOf = new Map<string, number>();

  constructor(private readonly times: ServiceTimes = createServiceTimes()) {}

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

  /**
   * Decides about a task; the caller adds a waiter after `wait`. Under load the queue is as long as this
   * lets it be, so a task is queued only if it will almost certainly be in time: were it queued up to
   * its target by averages, half of all would be late.
   */
  decide(request: AdmissionRequest, now: number): AdmissionDecision {
    const ahead = this.aheadOf(request);
    if (ahead === 0 && this.hasRoomFor(request)) {
      return { kind: 'run' };
    }
    const drainMs = request.runsAlone ? this.times.overallMs : 0;
    const waitMs = Math.max(this.expectedWaitOf(request, ahead), drainMs);
    const leftMs = horizonOf(request) - now;
    const isShort = waitMs <= leftMs * SHORT_WAIT_SHARE;
    const { route } = request;
    const workMs = isShort ? this.times.expectedMs(route) : this.times.boundMs(route);
    const inTime = waitMs + workMs <= leftMs;
    const isLong = this.waitingLike(request) >= this.slots * MAX_WAITING_PER_SLOT;
    if (!request.mayWait || !inTime || isLong) {
      return { kind: 'busy', retryAfterMs: this.retryAfterMs() };
    }
    return { kind: 'wait' };
  }

  /** A task begins to run. */
  started({ route, runsAlone = false, isCall = false }: Partial<AdmittedTask> = {}): void {
    this.running += 1;
    this.runningCalls += isCall ? 1 : 0;
    this.countRunning(route, 1);
    this.hasAloneTask = runsAlone;
  }

  /**
   * A task has ended; `serviceMs` is undefined when its time says nothing of the back end, and `slowness`
   * is what the back end told meanwhile.
   */
  finished(task: AdmittedTask, serviceMs: number | undefined, now: number, slowness = 1): void {
    const { route, isCall } = task;
    this.running -= 1;
    this.runningCalls -= isCall ? 1 : 0;
    this.countRunning(route, -1);
    this.hasAloneTask = false;
    if (serviceMs !== undefined) {
      this.mix.note(rankOf(task), serviceMs);
      this.times.note(route, serviceMs, slowness);
    }
    this.fill(now);
    this.dropHopeless(now);
  }

  /** Adds a task after `wait`; the queue is kept in order of rank, then of arrival. */
  enqueue(waiter: Waiter): void {
    this.waiting.splice(this.aheadOf(waiter.request), 0, waiter);
  }

  /** Takes back a task that no longer wants to run. */
  remove(waiter: Waiter): void {
    const index = this.waiting.indexOf(waiter);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
  }

  /** Turns away every task that waits. */
  turnAllAway(): void {
    for (const waiter of this.waiting.splice(0)) {
      waiter.turnAway(MIN_RETRY_AFTER_MS);
    }
  }

  /** Milliseconds after which there is likely to be room. */
  retryAfterMs(): number {
    return Math.max(MIN_RETRY_AFTER_MS, this.expectedWaitMs(this.workOf(this.waiting)));
  }

  private hasRoomFor({ runsAlone }: AdmissionRequest): boolean {
    const limit = runsAlone ? Math.min(1, this.slots) : this.slots;
    return this.running < limit && !this.hasAloneTask;
  }

  /** A task that runs alone holds up those behind it until the back end has nothing else to do. */
  private fill(now: number): void {
    for (;;) {
      const next = this.nextWaiter();
      if (!next || !this.hasRoomFor(next.request)) {
        return;
      }
      this.remove(next);
      if (now > this.latestStartAt(next.request)) {
        next.turnAway(this.retryAfterMs());
      } else {
        next.admit();
      }
    }
  }

  /** The first in line; while calls have their part of the slots, the first client of the same rank. */
  private nextWaiter(): Waiter | undefined {
    const [first] = this.waiting;
    if (!first?.request.isCall || this.runningCalls < this.slots * CALLS_SHARE) {
      return first;
    }
    const { priority } = first.request;
    const client = this.waiting.find(({ request }) => !request.isCall);
    return client?.request.priority === priority ? client : first;
  }

  /** Turns away whoever others have come before, until it cannot be served in time any more. */
  private dropHopeless(now: number): void {
    if (now < this.hopelessCheckedAt + HOPELESS_CHECK_MS) {
      return;
    }
    this.hopelessCheckedAt = now;
    const hopeless = this.waiting.filter(({ request }, index) => {
      const leftMs = this.latestStartAt(request) - now;
      return this.expectedWaitOf(request, index) > leftMs * HOPELESS_FACTOR;
    });
    for (const waiter of hopeless) {
      this.remove(waiter);
      waiter.turnAway(this.retryAfterMs());
    }
  }

  /**
   * Milliseconds until a task with so many ahead of it begins. Tasks of a better rank go on arriving
   * meanwhile and are served first, but calls leave clients of their priority a part of the slots.
   */
  private expectedWaitOf(request: AdmissionRequest, ahead: number): number {
    const before = this.waiting.slice(0, ahead);
    const left = 1 - this.mix.moreUrgentThan(rankOf(request));
    const waitMs = this.expectedWaitMs(this.workOf(before)) / left;
    if (request.isCall || !before.some((waiter) => isCallOf(waiter, request))) {
      return waitMs;
    }
    const clients = before.filter((waiter) => !isCallOf(waiter, request));
    const leftToClients = (1 - CALLS_SHARE) * (1 - this.mix.moreUrgentThan(firstRankOf(request)));
    return Math.min(waitMs, this.expectedWaitMs(this.workOf(clients)) / leftToClients);
  }

  /** Milliseconds until a slot is free for who has so much work, in slot-milliseconds, ahead of it. */
  private expectedWaitMs(aheadMs: number): number {
    const firstMs = this.meanRunningMs();
    return this.slots === 0 ? firstMs : (aheadMs + firstMs) / this.slots;
  }

  /** Work of tasks that wait, in slot-milliseconds. */
  private workOf(waiters: readonly Waiter[]): number {
    return waiters.reduce((sum, { request }) => sum + this.times.expectedMs(request.route), 0);
  }

  /** Calls that wait, or clients. */
  private waitingLike({ isCall = false }: AdmissionRequest): number {
    return this.waiting.filter(({ request }) => (request.isCall ?? false) === isCall).length;
  }

  /** Mean service time of the tasks that run. */
  private meanRunningMs(): number {
    let count = 0;
    let sum = 0;
    for (const [route, running] of this.runningOf) {
      count += running;
      sum += running * this.times.expectedMs(route);
    }
    return count === 0 ? this.times.overallMs : sum / count;
  }

  private countRunning(route: string | undefined, change: number): void {
    if (route !== undefined) {
      const count = (this.runningOf.get(route) ?? 0) + change;
      if (count > 0) {
        this.runningOf.set(route, count);
      } else {
        this.runningOf.delete(route);
      }
    }
  }

  /** Milliseconds that the back end is expected to take for a task of a route. */
  expectedServiceMs(route: string): number {
    return this.times.expectedMs(route);
  }

  /** Steady time in milliseconds by which a task must have begun to be in time. */
  latestStartAt(request: AdmissionRequest): number {
    return horizonOf(request) - this.times.expectedMs(request.route);
  }

  private aheadOf(request: AdmissionRequest): number {
    let ahead = this.waiting.length;
    while (ahead > 0 && rankOf((this.waiting[ahead - 1] as Waiter).request) > rankOf(request)) {
      ahead -= 1;
    }
    return ahead;
  }
}

/** True for a call of the priority of a task. */
function isCallOf({ request }: Waiter, { priority }: AdmissionRequest): boolean {
  return request.isCall === true && request.priority === priority;
}
