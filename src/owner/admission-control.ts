/**
 * Decides at an owner which tasks run, wait or are turned away. The back end
 * never gets more than its slots. A task waits only while it can still be
 * answered within its target latency; the most urgent go first, among equals
 * tenants take turns.
 */

import { createServiceTimes, type ServiceTimes } from './serviceTimes.js';
import { createTenantTurns, type TenantShare, type TenantTurns } from './tenantTurns.js';
import { createUrgencyMix } from './urgencyMix.js';

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
  readonly runsAlone?: boolean;
}

/** What is told of a task that begins. */
export type StartedTask = Pick<AdmissionRequest, 'tenant' | 'runsAlone'>;

/** What is told of a task that has ended. */
export type AdmittedTask = Pick<AdmissionRequest, 'route' | 'priority' | 'runsAlone'>;

/** A task that waits. */
export interface Waiter {
  readonly request: AdmissionRequest;
  readonly since: number;
  /** Called once when the task may run. */
  admit(): void;
  /** Called once when the task is turned away after all. */
  turnAway(retryAfterMs: number): void;
}

/** A task in the queue. */
interface QueuedTask {
  readonly waiter: Waiter;
  /** True if it waits behind those of other tenants that are equally urgent. */
  readonly isBehind: boolean;
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
  /** In order of priority, then those that are not behind, then of arrival. */
  private readonly waiting: QueuedTask[] = [];
  private readonly turns: TenantTurns;
  private readonly mix = createUrgencyMix();
  private running = 0;
  private slots = 0;
  private hasAloneTask = false;

  constructor(
    private readonly times: ServiceTimes = createServiceTimes(),
    shareOf: TenantShare = () => 1,
  ) {
    this.turns = createTenantTurns(shareOf);
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
    const isFirst = !first || first.waiter.request.priority > request.priority;
    if (isFirst && this.hasRoomFor(request)) {
      return { kind: 'run' };
    }
    const isBehind = this.turns.isBehind(request.tenant, now);
    const isFull = this.isFull && !this.takesPlaceOf(request, isBehind);
    const ahead = this.placeOf(request.priority, isBehind);
    if (!request.mayWait || !this.isInTime(request, ahead, now) || isFull) {
      return { kind: 'busy', retryAfterMs: this.retryAfterMs() };
    }
    return { kind: 'wait' };
  }

  /** A task begins to run. */
  started({ tenant, runsAlone = false }: StartedTask, now: number): void {
    this.running += 1;
    this.hasAloneTask = runsAlone;
    this.turns.note(tenant, now);
  }

  /**
   * A task has ended; `serviceMs` is undefined when its time says nothing of the back end, and `slowness`
   * is what the back end told meanwhile.
   */
  finished(task: AdmittedTask, serviceMs: number | undefined, now: number, slowness = 1): void {
    const { route, priority } = task;
    this.running -= 1;
    this.hasAloneTask = false;
    if (serviceMs !== undefined) {
      this.mix.note(priority, serviceMs);
      this.times.note(route, serviceMs, slowness);
    }
    this.fill(now);
  }

  /** Adds a task after `wait`; another tenant's task may have to give up its place for it. */
  enqueue(waiter: Waiter): void {
    const { priority, tenant } = waiter.request;
    const isBehind = this.turns.isBehind(tenant, waiter.since);
    const other = this.takesPlaceOf(waiter.request, isBehind);
    const wasFull = this.isFull;
    this.waiting.splice(this.placeOf(priority, isBehind), 0, { waiter, isBehind });
    if (other && (wasFull || !this.isStillInTime(other, waiter.since))) {
      this.remove(other);
      other.turnAway(this.retryAfterMs());
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
  turnAllAway(): void {
    for (const { waiter } of this.waiting.splice(0)) {
      waiter.turnAway(MIN_RETRY_AFTER_MS);
    }
  }

  /** Milliseconds after which there is likely to be room. */
  retryAfterMs(): number {
    return Math.max(MIN_RETRY_AFTER_MS, this.expectedWaitMs(this.waiting.length));
  }

  private hasRoomFor({ runsAlone }: AdmissionRequest): boolean {
    const limit = runsAlone ? Math.min(1, this.slots) : this.slots;
    return this.running < limit && !this.hasAloneTask;
  }

  /** A task that runs alone holds up those behind it until the back end has nothing else to do. */
  private fill(now: number): void {
    for (;;) {
      const [next] = this.waiting;
      if (!next || !this.hasRoomFor(next.waiter.request)) {
        return;
      }
      const { waiter } = next;
      this.waiting.shift();
      if (now > this.latestStartAt(waiter.request)) {
        waiter.turnAway(this.retryAfterMs());
      } else {
        waiter.admit();
      }
    }
  }

  private get isFull(): boolean {
    return this.waiting.length >= this.slots * MAX_WAITING_PER_SLOT;
  }

  /** The last of those that are equally urgent, if it is behind and the other task is not. */
  private takesPlaceOf({ priority }: AdmissionRequest, isBehind: boolean): Waiter | undefined {
    const last = this.waiting.findLast(({ waiter }) => waiter.request.priority === priority);
    return !isBehind && last?.isBehind ? last.waiter : undefined;
  }

  private isStillInTime(waiter: Waiter, now: number): boolean {
    const ahead = this.waiting.findIndex((queued) => queued.waiter === waiter);
    return this.isInTime(waiter.request, ahead, now);
  }

  private isInTime(request: AdmissionRequest, ahead: number, now: number): boolean {
    // Tasks that are more urgent go on arriving meanwhile and are served first.
    const left = 1 - this.mix.moreUrgentThan(request.priority);
    const drainMs = request.runsAlone ? this.times.overallMs : 0;
    const waitMs = Math.max(this.expectedWaitMs(ahead) / left, drainMs);
    return now + waitMs + this.expectedServiceMs(request.route) <= horizonOf(request);
  }

  private expectedWaitMs(ahead: number): number {
    const { overallMs } = this.times;
    return this.slots === 0 ? overallMs : ((ahead + 1) * overallMs) / this.slots;
  }

  /** Milliseconds that the back end is expected to take for a task of a route. */
  expectedServiceMs(route: string): number {
    return this.times.expectedMs(route);
  }

  /** Steady time in milliseconds by which a task must have begun to be in time. */
  latestStartAt(request: AdmissionRequest): number {
    return horizonOf(request) - this.expectedServiceMs(request.route);
  }

  /** How many go before a task that comes. */
  private placeOf(priority: number, isBehind: boolean): number {
    const goesAfter = ({ waiter: { request }, isBehind: other }: QueuedTask): boolean =>
      request.priority > priority || (request.priority === priority && other && !isBehind);
    const place = this.waiting.findIndex(goesAfter);
    return place < 0 ? this.waiting.length : place;
  }
}

/** A task that can no longer meet its target is not worth a slot that others can use in time. */
function horizonOf(request: AdmissionRequest): number {
  return Math.min(request.targetAt, request.deadlineAt);
}
