/**
 * Decides at an owner which tasks run, wait or are turned away. The back end
 * never gets more than its slots. A task waits only while it can still be
 * answered within its target latency; the most urgent go first.
 */

/** What a task asks for. */
export interface AdmissionRequest {
  readonly route: string;
  readonly priority: number;
  /** Steady time in milliseconds until which an answer is worth most. */
  readonly targetAt: number;
  readonly deadlineAt: number;
}

/** A task that waits. */
export interface Waiter {
  readonly request: AdmissionRequest;
  /** Steady time in milliseconds after which a slot would come too late. */
  readonly startBy: number;
  /** Called once when the task may run. */
  admit(): void;
  /** Called once when the task is turned away after all. */
  turnAway(retryAfterMs: number): void;
}

/** The answer to a task's arrival. */
export type AdmissionDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'wait'; readonly startBy: number }
  | { readonly kind: 'busy'; readonly retryAfterMs: number };

/** Share of the time to its target that a task may spend waiting. */
const MAX_WAIT_SHARE = 0.5;

/** Time over which the number of running tasks is averaged, in milliseconds. */
const RUNNING_AVERAGE_MS = 500;

/** A task of low priority counts on this share of the slots at least. */
const MIN_SLOT_SHARE = 0.15;

/** Weight of the newest service time in the moving averages. */
const AVERAGE_WEIGHT = 0.1;

/** Assumed service time, in milliseconds, until one has been seen. */
const INITIAL_SERVICE_MS = 20;

/** Waiting tasks for each slot, at the most. */
const MAX_WAITING_PER_SLOT = 8;

/** Shortest time, in milliseconds, after which a client is told to come back. */
const MIN_RETRY_AFTER_MS = 20;

/** Owned by the local owner; the time is passed in. */
export class AdmissionControl {
  private readonly waiting: Waiter[] = [];
  private readonly routeMs = new Map<string, number>();
  private readonly runningOf = new Map<number, RunningAverage>();
  private overallMs = INITIAL_SERVICE_MS;
  private running = 0;
  private slots = 0;

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
    return this.routeMs.size > 0 ? this.overallMs : undefined;
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
    const ahead = this.aheadOf(request.priority);
    if (this.running < this.slots && ahead === 0) {
      return { kind: 'run' };
    }
    const waitMs = this.expectedWaitMs(ahead, request.priority, now);
    const startBy = this.startBy(request, now);
    if (now + waitMs > startBy || this.waiting.length >= this.slots * MAX_WAITING_PER_SLOT) {
      return { kind: 'busy', retryAfterMs: this.retryAfterMs(request.priority, now) };
    }
    return { kind: 'wait', startBy };
  }

  /** A task begins to run. */
  started(priority: number, now: number): void {
    this.running += 1;
    this.countRunning(priority, 1, now);
  }

  /** A task has ended; `serviceMs` is undefined when its time says nothing of the back end. */
  finished(
    { route, priority }: AdmissionRequest,
    serviceMs: number | undefined,
    now: number,
  ): void {
    this.running -= 1;
    this.countRunning(priority, -1, now);
    if (serviceMs !== undefined) {
      if (this.routeMs.size === 0) {
        this.overallMs = serviceMs;
      }
      this.overallMs += (serviceMs - this.overallMs) * AVERAGE_WEIGHT;
      const known = this.routeMs.get(route) ?? serviceMs;
      this.routeMs.set(route, known + (serviceMs - known) * AVERAGE_WEIGHT);
    }
    this.fill(now);
  }

  /** Adds a task after `wait`; the queue is kept in order of priority, then of arrival. */
  enqueue(waiter: Waiter): void {
    let index = this.waiting.length;
    while (index > 0 && this.priorityAt(index - 1) > waiter.request.priority) {
      index -= 1;
    }
    this.waiting.splice(index, 0, waiter);
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

  /** Milliseconds after which there is likely to be room for a task of this priority. */
  retryAfterMs(priority: number, now: number): number {
    const ahead = this.aheadOf(priority);
    return Math.max(MIN_RETRY_AFTER_MS, this.expectedWaitMs(ahead, priority, now));
  }

  private fill(now: number): void {
    while (this.running < this.slots) {
      const next = this.waiting.shift();
      if (!next) {
        return;
      }
      if (now > next.startBy) {
        next.turnAway(this.retryAfterMs(next.request.priority, now));
      } else {
        next.admit();
      }
    }
  }

  /** A slot that comes later cannot earn the target any more, or would have been held too long. */
  private startBy(request: AdmissionRequest, now: number): number {
    const horizon = Math.min(request.targetAt, request.deadlineAt);
    const longestWait = (horizon - now) * MAX_WAIT_SHARE;
    return Math.min(horizon - this.expectedServiceMs(request.route), now + longestWait);
  }

  /** What is more urgent takes its share of the slots first. */
  private expectedWaitMs(ahead: number, priority: number, now: number): number {
    let urgent = 0;
    for (const [other, average] of this.runningOf) {
      if (other < priority) {
        urgent += averageOf(average, now);
      }
    }
    const usable = Math.max(this.slots * MIN_SLOT_SHARE, this.slots - urgent);
    return this.slots === 0 ? this.overallMs : ((ahead + 1) * this.overallMs) / usable;
  }

  private countRunning(priority: number, change: number, now: number): void {
    const known = this.runningOf.get(priority) ?? { running: 0, average: 0, at: now };
    this.runningOf.set(priority, {
      running: known.running + change,
      average: averageOf(known, now),
      at: now,
    });
  }

  private expectedServiceMs(route: string): number {
    return this.routeMs.get(route) ?? this.overallMs;
  }

  private aheadOf(priority: number): number {
    let ahead = 0;
    while (ahead < this.waiting.length && this.priorityAt(ahead) <= priority) {
      ahead += 1;
    }
    return ahead;
  }

  private priorityAt(index: number): number {
    return (this.waiting[index] as Waiter).request.priority;
  }
}

/** Tasks of one priority that run, and their moving average over time. */
interface RunningAverage {
  readonly running: number;
  readonly average: number;
  readonly at: number;
}

function averageOf({ running, average, at }: RunningAverage, now: number): number {
  const kept = Math.exp(-(now - at) / RUNNING_AVERAGE_MS);
  return average * kept + running * (1 - kept);
}
