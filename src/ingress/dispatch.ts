/**
 * Brings one client's request to an owner: chooses, offers, repeats where that
 * is allowed, and gives up at once when nothing is left to try.
 */

import type { OwnerDirectory, OwnerWish } from '../directory/owner-directory.js';
import type { OwnerEntry } from '../directory/owner-entry.js';
import { LARGE_BODY_BYTES, type SpillAllowance } from '../directory/spillAllowance.js';
import type { Clock } from '../model/clock.js';
import type { OwnerAnswer, OwnerNotRun, OwnerOutcome, OwnerTask } from '../owner/owner.js';
import { type Attempt, SILENT, startAttempt } from './attempt.js';
import type { ClientRefusal } from './client-answer.js';
import type { OfferLimit } from './offerLimit.js';
import type { ReturnTimes } from './returnTimes.js';
import type { SharedRetryBudget } from './shared-retry-budget.js';

/**
 * Owners of the own zone that may be busy before the others are asked: in a zone of a dozen owners
 * that are all full, each further one says the same, while other zones may have free slots.
 */
const BUSY_NEAR_OWNERS = 2;

/** A body whose length is not known, or above this, counts as one of so many bytes. */
const LONGEST_COUNTED_BODY_BYTES = 1024 * 1024;

/** Told when an obstacle other than a lack of room was met, in milliseconds. */
const MIN_RETRY_AFTER_MS = 20;

/** Told when no owner of the service is known to be ready. */
const NO_OWNER_RETRY_AFTER_MS = 250;

/** One offer and its fate, for the log. */
export interface OfferRecord {
  readonly owner: string;
  readonly zone: string;
  readonly result: string;
  readonly tookMs: number;
}

/** How a dispatch ended. */
export interface DispatchResult {
  readonly result: OwnerAnswer | ClientRefusal;
  readonly offers: readonly OfferRecord[];
}

/** What every dispatch of a node shares. */
export interface DispatchContext {
  readonly clock: Clock;
  readonly directory: OwnerDirectory;
  readonly budget: SharedRetryBudget;
  readonly spill: SpillAllowance;
  readonly returns: ReturnTimes;
  readonly offerLimit: OfferLimit;
}

/** One per request. */
export class Dispatch {
  /** Attempts that have not ended. */
  private readonly running = new Set<Attempt>();
  /** Those among them whose owner has fallen silent. */
  private readonly silent = new Set<Attempt>();
  private readonly tried = new Set<OwnerEntry>();
  private readonly offers: OfferRecord[] = [];
  /** Back ends that the request has, or may have, been sent to. */
  private arrivals = 0;
  /** Owners of the own zone that had no room. */
  private busyNear = 0;
  /** True once a back end may have run the request. */
  private mayHaveRun = false;
  private lastNotRun: OwnerNotRun | undefined;

  constructor(
    private readonly context: DispatchContext,
    private readonly task: OwnerTask,
    private readonly maxAttempts: number,
    /** Size of the request's body; infinite when it is not known. */
    private readonly bodyBytes: number,
    private readonly mayServe?: OwnerWish['mayServe'],
  ) {}

  /** True when no back end can have run the request so far. */
  get certainlyNotRun(): boolean {
    return !this.mayHaveRun;
  }

  get history(): readonly OfferRecord[] {
    return this.offers;
  }

  /** Runs to the final answer; the caller's timer may end it sooner by cancelling the task. */
  async run(): Promise<DispatchResult> {
    this.context.budget.noteRequest(this.task.service, this.context.clock.now());
    if (this.isLarge) {
      this.context.spill.earn();
    }
    for (;;) {
      if (this.running.size === this.silent.size) {
        const refusal = this.offerNext();
        // With nobody left to ask, an owner that has fallen silent may still answer.
        if (refusal && this.running.size === 0) {
          return this.end(refusal);
        }
      }
      const outcome = await this.firstOutcome();
      if (outcome !== SILENT && outcome.kind === 'answer') {
        this.context.returns.noteServed(this.task.service, this.context.clock.now());
        return this.end(outcome);
      }
    }
  }

  private end(result: OwnerAnswer | ClientRefusal): DispatchResult {
    for (const attempt of this.running) {
      attempt.cancel();
    }
    return { result, offers: this.offers };
  }

  /** Offers the request to one more owner, or says why that cannot be. */
  private offerNext(): ClientRefusal | undefined {
    const refusal = this.obstacle();
    if (refusal) {
      return refusal;
    }
    const entry = this.chooseOwner();
    if (!entry) {
      return this.noOwner();
    }
    this.offer(entry);
    return undefined;
  }

  /** What happens first: an attempt ends, or the owner of the newest falls silent. */
  private async firstOutcome(): Promise<OwnerOutcome | typeof SILENT> {
    const ends = [...this.running].map(async (attempt) => ({
      attempt,
      outcome: await attempt.outcome,
    }));
    const newest = [...this.running].find((attempt) => !this.silent.has(attempt));
    const first = await Promise.race(newest ? [...ends, newest.silence] : ends);
    if (first !== SILENT) {
      this.noteOutcome(first.attempt, first.outcome);
      return first.outcome;
    }
    this.noteSilence(newest as Attempt);
    return SILENT;
  }

  /** Why no further offer may be made, if so. */
  private obstacle(): ClientRefusal | undefined {
    const now = this.context.clock.now();
    if (now >= this.task.deadlineAt || this.task.cancellation.cancelled) {
      return this.giveUp('deadline');
    }
    if (this.mayHaveRun && !this.task.repeatable) {
      return this.giveUp('lost');
    }
    if (this.arrivals >= this.maxAttempts) {
      return this.giveUp('attempts-spent');
    }
    if (!this.context.offerLimit.allows(this.task.service, this.tried.size)) {
      const hasNoRoom = !this.mayHaveRun && this.lastNotRun?.reason === 'busy';
      return hasNoRoom ? this.noRoom() : this.giveUp('attempts-spent');
    }
    if (this.arrivals > 0 && !this.context.budget.withdraw(this.task.service, now)) {
      return this.giveUp('retry-budget-spent');
    }
    return undefined;
  }

  private chooseOwner(): OwnerEntry | undefined {
    const { directory, clock } = this.context;
    const { service, priority } = this.task;
    const { mayServe } = this;
    const looksElsewhere = !this.isLarge && this.busyNear >= BUSY_NEAR_OWNERS;
    const prefersZone = this.isLarge;
    const bodyBytes = Math.min(this.bodyBytes, LONGEST_COUNTED_BODY_BYTES);
    const wish = { service, priority, prefersZone, looksElsewhere, bodyBytes, mayServe };
    const entry = directory.choose(wish, this.tried, clock.now());
    const leavesZone = entry !== undefined && !directory.isNear(entry);
    if (leavesZone && this.isLarge && directory.hasNearOwner(wish)) {
      return this.context.spill.take() ? entry : undefined;
    }
    return entry;
  }

  /** While its own zone is up, a request takes only slots that are free in another one. */
  private mayWaitAt(entry: OwnerEntry): boolean {
    const { directory } = this.context;
    const { mayServe } = this;
    const { service } = this.task;
    return directory.isNear(entry) || !directory.hasNearOwner({ service, mayServe });
  }

  private get isLarge(): boolean {
    return this.bodyBytes >= LARGE_BODY_BYTES;
  }

  private offer(entry: OwnerEntry): void {
    const earlier = this.tried.size;
    this.tried.add(entry);
    const task = { ...this.task, mayWait: this.mayWaitAt(entry) };
    this.running.add(startAttempt({ entry, task, clock: this.context.clock, earlier }));
  }

  /** The owner has the task: it counts as arrived, and may have run. */
  private noteSilence(attempt: Attempt): void {
    this.silent.add(attempt);
    this.arrivals += 1;
    this.mayHaveRun = true;
    this.record(attempt, SILENT);
  }

  private noteOutcome(attempt: Attempt, outcome: OwnerOutcome): void {
    const { entry } = attempt;
    this.running.delete(attempt);
    const isCounted = this.silent.delete(attempt);
    if (outcome.kind === 'answer' || (outcome.kind === 'not-run' && outcome.reason === 'busy')) {
      const isTaken = outcome.kind === 'answer';
      this.context.offerLimit.note(this.task.service, attempt.earlier, isTaken);
    }
    if (outcome.kind === 'not-run') {
      const isBusyNear = outcome.reason === 'busy' && this.context.directory.isNear(entry);
      this.busyNear += isBusyNear ? 1 : 0;
      this.lastNotRun = outcome;
      this.arrivals += outcome.arrived && !isCounted ? 1 : 0;
      const now = this.context.clock.now();
      entry.noteTurnedAway(outcome.reason, this.task.priority, outcome.retryAfterMs, now);
    } else {
      this.arrivals += isCounted ? 0 : 1;
      this.mayHaveRun = true;
    }
    const detail = outcome.kind === 'answer' ? outcome.status : outcome.reason;
    this.record(attempt, `${outcome.kind} ${detail}`);
  }

  private record({ entry, startedAt }: Attempt, result: string): void {
    this.offers.push({
      owner: entry.record.node,
      zone: entry.record.zone,
      result,
      tookMs: Math.round(this.context.clock.now() - startedAt),
    });
  }

  /** No owner is left to ask: the request has not run unless an earlier offer may have. */
  private noOwner(): ClientRefusal {
    if (this.mayHaveRun) {
      return this.giveUp('no-owner');
    }
    if (this.isDenied()) {
      return { code: 'placement-denied', status: 503, retryAfterMs: NO_OWNER_RETRY_AFTER_MS };
    }
    const isBusy = this.lastNotRun?.reason === 'busy';
    const isResting = Number.isFinite(this.restMs());
    return isBusy || isResting
      ? this.noRoom()
      : { code: 'no-owner', status: 503, retryAfterMs: NO_OWNER_RETRY_AFTER_MS };
  }

  /** The owners that were asked are full: clients come back at the pace of what is served. */
  private noRoom(): ClientRefusal {
    const restMs = this.restMs();
    const waitMs =
      this.lastNotRun?.retryAfterMs ?? (Number.isFinite(restMs) ? restMs : NO_OWNER_RETRY_AFTER_MS);
    const now = this.context.clock.now();
    const retryAfterMs = this.context.returns.next(this.task.service, waitMs, now);
    return { code: 'busy', status: 503, retryAfterMs };
  }

  /** Milliseconds until some owner may be asked again; infinite when none is up. */
  private restMs(): number {
    return this.context.directory.restMs(this.task.service, this.context.clock.now());
  }

  /** True when owners of the service are up, and placement policies allow none of them. */
  private isDenied(): boolean {
    const { mayServe } = this;
    const owners = this.context.directory.ownersOf(this.task.service);
    const isUp = owners.some((entry) => !entry.absence);
    return mayServe !== undefined && isUp && !owners.some((entry) => mayServe(entry.record));
  }

  private giveUp(code: ClientRefusal['code']): ClientRefusal {
    if (this.mayHaveRun) {
      return { code, status: code === 'deadline' ? 504 : 502 };
    }
    return { code, status: 503, retryAfterMs: this.lastNotRun?.retryAfterMs ?? MIN_RETRY_AFTER_MS };
  }
}
