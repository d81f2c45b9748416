/**
 * Brings one client's request to an owner: chooses, offers, repeats where that
 * is allowed, and gives up at once when nothing is left to try.
 */

import type { OwnerDirectory, OwnerWish } from '../directory/owner-directory.js';
import type { OwnerEntry } from '../directory/owner-entry.js';
import { LARGE_BODY_BYTES, type SpillAllowance } from '../directory/spillAllowance.js';
import type { Clock } from '../model/clock.js';
import type { OwnerAnswer, OwnerNotRun, OwnerOutcome, OwnerTask } from '../owner/owner.js';
import type { ClientRefusal } from './client-answer.js';
import type { ReturnTimes } from './returnTimes.js';
import type { SharedRetryBudget } from './shared-retry-budget.js';

/** Offers that one request may make in all, turned away or not. */
const MAX_OFFERS = 8;

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
}

/** One per request. */
export class Dispatch {
  private readonly tried = new Set<OwnerEntry>();
  private readonly offers: OfferRecord[] = [];
  /** Back ends that the request has, or may have, been sent to. */
  private arrivals = 0;
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
      const refusal = this.obstacle();
      if (refusal) {
        return this.end(refusal);
      }
      const entry = this.chooseOwner();
      if (!entry) {
        return this.end(this.noOwner());
      }
      const outcome = await this.offer(entry);
      if (outcome.kind === 'answer') {
        this.context.returns.noteServed(this.task.service, this.context.clock.now());
        return this.end(outcome);
      }
    }
  }

  private end(result: OwnerAnswer | ClientRefusal): DispatchResult {
    return { result, offers: this.offers };
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
    if (this.arrivals >= this.maxAttempts || this.offers.length >= MAX_OFFERS) {
      return this.giveUp('attempts-spent');
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
    const wish = { service, priority, prefersZone: this.isLarge, mayServe };
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

  private async offer(entry: OwnerEntry): Promise<OwnerOutcome> {
    const { clock } = this.context;
    const startedAt = clock.now();
    this.tried.add(entry);
    entry.outstanding += 1;
    const outcome = await entry.owner.run({ ...this.task, mayWait: this.mayWaitAt(entry) });
    entry.outstanding -= 1;
    const now = clock.now();
    if (outcome.kind === 'not-run') {
      this.lastNotRun = outcome;
      this.arrivals += outcome.arrived ? 1 : 0;
      entry.noteTurnedAway(outcome.reason, this.task.priority, outcome.retryAfterMs, now);
    } else {
      this.arrivals += 1;
      this.mayHaveRun = true;
    }
    this.offers.push({
      owner: entry.record.node,
      zone: entry.record.zone,
      result:
        outcome.kind === 'answer'
          ? `answer ${outcome.status}`
          : `${outcome.kind} ${outcome.reason}`,
      tookMs: Math.round(now - startedAt),
    });
    return outcome;
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
    const now = this.context.clock.now();
    const restMs = this.context.directory.restMs(this.task.service, now);
    const isResting = Number.isFinite(restMs);
    if (!isBusy && !isResting) {
      return { code: 'no-owner', status: 503, retryAfterMs: NO_OWNER_RETRY_AFTER_MS };
    }
    const waitMs = this.lastNotRun?.retryAfterMs ?? (isResting ? restMs : NO_OWNER_RETRY_AFTER_MS);
    const retryAfterMs = this.context.returns.next(this.task.service, waitMs, now);
    return { code: 'busy', status: 503, retryAfterMs };
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
