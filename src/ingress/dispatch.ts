/**
 * Brings one client's request to an owner: chooses, offers, repeats where that
 * is allowed, and gives up at once when nothing is left to try.
 */

import type { CrossZoneBudget } from '../directory/crossZoneBudget.js';
import type { OwnerCriteria, OwnerDirectory } from '../directory/owner-directory.js';
import type { OwnerEntry } from '../directory/owner-entry.js';
import type { Clock } from '../model/clock.js';
import {
  crashKeyOf,
  type OwnerAnswer,
  type OwnerNotRun,
  type OwnerOutcome,
  type OwnerTask,
} from '../owner/owner.js';
import {
  type CrashTracker,
  QuarantineStatus,
  type RequestKey,
} from '../quarantine/crashTracker.js';
import {
  UNRESTRICTED_SELECTION,
  type VersionSelection,
  type VersionSelector,
} from '../rollout/versionSelector.js';
import { type Attempt, SILENT, startAttempt } from './attempt.js';
import type { ClientRefusal } from './client-answer.js';
import {
  createDispatchRefusals,
  type DispatchRefusals,
  type RequestProgress,
} from './dispatchRefusals.js';
import type { OfferLimit } from './offerLimit.js';
import { createOwnerChoice, type OwnerChoice } from './ownerChoice.js';
import type { RetryAfterPacer } from './retryAfterPacer.js';
import type { SharedRetryBudget } from './shared-retry-budget.js';

const FIRST_FAILED_STATUS = 500;

/** One offer and its fate, for the log. */
export interface OfferRecord {
  readonly owner: string;
  readonly zone: string;
  readonly result: string;
  readonly tookMs: number;
  /** Present if the owner had fallen silent before; while it has not ended, the result is `silent`. */
  readonly wasSilent?: boolean;
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
  readonly retryBudget: SharedRetryBudget;
  readonly crossZoneBudget: CrossZoneBudget;
  readonly retryAfterPacer: RetryAfterPacer;
  readonly offerLimit: OfferLimit;
  readonly crashTracker: CrashTracker;
  /** Left out where no roll-outs are followed. */
  readonly versionSelector?: VersionSelector | undefined;
}

/** One per request. */
export class Dispatch {
  /** Attempts that have not ended. */
  private readonly running = new Set<Attempt>();
  /** Those among them whose owner has fallen silent. */
  private readonly silent = new Set<Attempt>();
  private readonly tried = new Set<OwnerEntry>();
  /** One for each attempt, in the order of their first words. */
  private readonly offers = new Map<Attempt, OfferRecord>();
  /** Back ends that the request has, or may have, been sent to. */
  private arrivals = 0;
  /** Owners of the own zone that had no room. */
  private busyInZone = 0;
  /** True once a back end may have run the request. */
  private mayHaveRun = false;
  private lastNotRun: OwnerNotRun | undefined;
  private readonly choice: OwnerChoice;
  private readonly share: VersionSelection;
  private readonly key: RequestKey;
  private readonly refusals: DispatchRefusals;

  constructor(
    private readonly context: DispatchContext,
    private readonly task: OwnerTask,
    private readonly maxAttempts: number,
    /** Size of the request's body; infinite when it is not known. */
    bodyBytes: number,
    readonly mayServe?: OwnerCriteria['mayServe'],
  ) {
    this.share =
      context.versionSelector?.select(task.service, task.route) ?? UNRESTRICTED_SELECTION;
    // One for each request: naming the fields costs a fraction of what spreading the context does.
    const { clock, directory, crossZoneBudget, retryAfterPacer, crashTracker } = context;
    const { share } = this;
    this.choice = createOwnerChoice({
      directory,
      crossZoneBudget,
      task,
      bodyBytes,
      mayServe,
      share,
    });
    this.key = crashKeyOf(task);
    this.refusals = createDispatchRefusals({
      clock,
      directory,
      retryAfterPacer,
      crashTracker,
      service: task.service,
      key: this.key,
      mayServe,
    });
  }

  /** True when no back end can have run the request so far. */
  get certainlyNotRun(): boolean {
    return !this.mayHaveRun;
  }

  get history(): readonly OfferRecord[] {
    return [...this.offers.values()];
  }

  /** Runs to the final answer; the caller's timer may end it sooner by cancelling the task. */
  async run(): Promise<DispatchResult> {
    this.context.retryBudget.noteRequest(this.task.service, this.context.clock.now());
    if (this.choice.isLarge) {
      this.context.crossZoneBudget.deposit();
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
        this.context.retryAfterPacer.noteServed(this.task.service, this.context.clock.now());
        return this.end(outcome);
      }
    }
  }

  private end(result: OwnerAnswer | ClientRefusal): DispatchResult {
    for (const attempt of this.running) {
      attempt.cancel();
    }
    return { result, offers: this.history };
  }

  /** Offers the request to one more owner, or says why that cannot be. */
  private offerNext(): ClientRefusal | undefined {
    const refusal = this.obstacle();
    if (refusal) {
      return refusal;
    }
    const entry = this.chooseOwner();
    if (!entry) {
      return this.refusals.noOwner(this.fate);
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
    if (
      this.standing === QuarantineStatus.Quarantined ||
      this.lastNotRun?.reason === 'quarantined'
    ) {
      return this.giveUp('quarantined');
    }
    if (this.mayHaveRun && !this.task.repeatable) {
      return this.giveUp('lost');
    }
    if (this.arrivals >= this.maxAttempts) {
      return this.giveUp('attempts-spent');
    }
    if (!this.context.offerLimit.allows(this.task.route, this.tried.size)) {
      const hasNoRoom = !this.mayHaveRun && this.lastNotRun?.reason === 'busy';
      return hasNoRoom ? this.refusals.ownersBusy(this.fate) : this.giveUp('attempts-spent');
    }
    if (this.arrivals > 0 && !this.context.retryBudget.withdraw(this.task.service, now)) {
      return this.giveUp('retry-budget-spent');
    }
    return undefined;
  }

  private giveUp(code: ClientRefusal['code']): ClientRefusal {
    return this.refusals.giveUp(code, this.fate);
  }

  private get fate(): RequestProgress {
    return { mayHaveRun: this.mayHaveRun, lastNotRun: this.lastNotRun };
  }

  private chooseOwner(): OwnerEntry | undefined {
    const { tried, busyInZone } = this;
    const isSuspect = this.standing === QuarantineStatus.Suspect;
    return this.choice.next({ tried, busyInZone, isSuspect, now: this.context.clock.now() });
  }

  private get standing(): QuarantineStatus {
    return this.context.crashTracker.statusOf(this.key, this.context.clock.now());
  }

  private offer(entry: OwnerEntry): void {
    const earlierOffers = this.tried.size;
    this.tried.add(entry);
    this.share.noteOffer(entry.record.node);
    // A suspect has this one owner to run at.
    const mayWait = this.choice.mayWaitAt(entry) || this.standing === QuarantineStatus.Suspect;
    const { clock } = this.context;
    this.running.add(startAttempt({ entry, task: this.task, mayWait, clock, earlierOffers }));
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
    this.noteShare(entry, outcome);
    if (outcome.kind === 'answer' || (outcome.kind === 'not-run' && outcome.reason === 'busy')) {
      const isTaken = outcome.kind === 'answer';
      this.context.offerLimit.noteOutcome(this.task.route, attempt.earlierOffers, isTaken);
    }
    if (outcome.kind === 'not-run') {
      const isBusyNear = outcome.reason === 'busy' && this.context.directory.isInOwnZone(entry);
      this.busyInZone += isBusyNear ? 1 : 0;
      this.lastNotRun = outcome;
      this.arrivals += outcome.arrived && !isCounted ? 1 : 0;
      const now = this.context.clock.now();
      entry.noteRejection(outcome.reason, this.task.priority, outcome.retryAfterMs, now);
    } else {
      this.arrivals += isCounted ? 0 : 1;
      this.mayHaveRun = true;
    }
    const detail = outcome.kind === 'answer' ? outcome.status : outcome.reason;
    this.record(attempt, `${outcome.kind} ${detail}`);
  }

  private noteShare({ record }: OwnerEntry, outcome: OwnerOutcome): void {
    if (outcome.kind === 'not-run' && !outcome.arrived) {
      this.share.noteUndelivered(record.node);
    } else if (outcome.kind !== 'answer' || outcome.status >= FIRST_FAILED_STATUS) {
      this.share.noteFailure(record.node);
    }
  }

  private record(attempt: Attempt, result: string): void {
    const { entry, startedAt } = attempt;
    this.offers.set(attempt, {
      owner: entry.record.node,
      zone: entry.record.zone,
      result,
      tookMs: Math.round(this.context.clock.now() - startedAt),
      ...(this.offers.has(attempt) ? { wasSilent: true } : {}),
    });
  }
}
