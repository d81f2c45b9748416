/**
 * Decides at an owner which tasks run, wait or are turned away. The back end
 * never gets more than its slots. A task waits only while it can still be
 * answered within its target latency; the most urgent go first.
 */

import { createCallTurns, type QueuedTurn, rankOf, type TurnContext } from './callTurns.js';
import { drainMs, type QueueWaitContext, queueWaitMs } from './queueWait.js';
import { createServiceTimes, type ServiceTimes } from './serviceTimes.js';
import { createUrgencyMix } from './urgencyMix.js';

/** What a task asks for. */
export interface AdmissionRequest {
  readonly route: string;
  readonly priority: number;
  /** Steady time in milliseconds until which an answer is worth most. */
  readonly targetAt: number;
  readonly deadlineAt: number;
  /** False if the task is turned away unless a slot is free. */
  readonly mayWait: boolean;
  /** True if nothing else may run beside the task. */
  readonly runsAlone?: boolean;
  /** True if a running back end waits for the answer. */
  readonly isCall?: boolean;
}

/** What is told of a task that has ended. */
export type AdmittedTask = Pick<AdmissionRequest, 'route' | 'priority' | 'runsAlone' | 'isCall'>;

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

/** Shortest time, in milliseconds, after which a client is told to come back. */
const MIN_RETRY_AFTER_MS = 20;

/** Owned by the local owner; the time is passed in. */
export class AdmissionControl {
  private readonly waiting: Waiter[] = [];
  private readonly mix = createUrgencyMix();
  private readonly turns = createCallTurns();
  private running = 0;
  private slots = 0;
  private hasAloneTask = false;

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

  /** Decides about a task; the caller adds a waiter after `wait`. */
  decide(request: AdmissionRequest, now: number): AdmissionDecision {
    const ahead = this.aheadOf(request);
    if (ahead === 0 && this.hasRoomFor(request)) {
      return { kind: 'run' };
    }
    const aloneMs = request.runsAlone ? this.times.overallMs : 0;
    const waitMs = Math.max(this.expectedWaitMs(request, ahead), aloneMs);
    const inTime = now + waitMs + this.expectedServiceMs(request.route) <= horizonOf(request);
    if (!request.mayWait || !inTime || this.waiting.length >= this.slots * MAX_WAITING_PER_SLOT) {
      return { kind: 'busy', retryAfterMs: this.retryAfterMs() };
    }
    return { kind: 'wait' };
  }

  /** A task begins to run. */
  started({ runsAlone = false, isCall = false }: Partial<AdmittedTask> = {}): void {
    this.running += 1;
    this.turns.noteStarted({ isCall });
    this.hasAloneTask = runsAlone;
  }

  /**
   * A task has ended; `serviceMs` is undefined when its time says nothing of the back end, and `slowness`
   * is what the back end told meanwhile.
   */
  finished(task: AdmittedTask, serviceMs: number | undefined, now: number, slowness = 1): void {
    const { route } = task;
    this.running -= 1;
    this.turns.noteEnded(task);
    this.hasAloneTask = false;
    if (serviceMs !== undefined) {
      this.mix.note(rankOf(task), serviceMs);
      this.times.note(route, serviceMs, slowness);
    }
    this.fill(now);
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
    return Math.max(MIN_RETRY_AFTER_MS, drainMs(requestsOf(this.waiting), this.context));
  }

  private turnContext(now: number): TurnContext {
    const latestStartAt: TurnContext['latestStartAt'] = (request) => this.latestStartAt(request);
    return { slots: this.slots, now, latestStartAt };
  }

  private hasRoomFor({ runsAlone }: AdmissionRequest): boolean {
    const limit = runsAlone ? Math.min(1, this.slots) : this.slots;
    return this.running < limit && !this.hasAloneTask;
  }

  /** A task that runs alone holds up those behind it until the back end has nothing else to do. */
  private fill(now: number): void {
    for (;;) {
      const next = this.turns.next(this.waiting, this.turnContext(now));
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

  private expectedWaitMs(request: AdmissionRequest, ahead: number): number {
    return queueWaitMs(request, requestsOf(this.waiting.slice(0, ahead)), this.context);
  }

  private get context(): QueueWaitContext {
    return { slots: this.slots, times: this.times, mix: this.mix };
  }

  /** Milliseconds that the back end is expected to take for a task of a route. */
  expectedServiceMs(route: string): number {
    return this.times.expectedMs(route);
  }

  /** Steady time in milliseconds by which a task must have begun to be in time. */
  latestStartAt(request: QueuedTurn['request']): number {
    return horizonOf(request) - this.expectedServiceMs(request.route);
  }

  private aheadOf(request: AdmissionRequest): number {
    let ahead = this.waiting.length;
    while (ahead > 0 && rankOf((this.waiting[ahead - 1] as Waiter).request) > rankOf(request)) {
      ahead -= 1;
    }
    return ahead;
  }
}

/** A task that can no longer meet its target is not worth a slot that others can use in time. */
function horizonOf(request: Pick<AdmissionRequest, 'targetAt' | 'deadlineAt'>): number {
  return Math.min(request.targetAt, request.deadlineAt);
}

function requestsOf(waiters: readonly Waiter[]): AdmissionRequest[] {
  return waiters.map(({ request }) => request);
}
