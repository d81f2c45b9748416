/** Offers a request to owners in turn, within limits. Refuses it if none can answer any more. */

import type { CrossZoneBudget } from '../directory/crossZoneBudget.js';
import type { OwnerCriteria } from '../directory/owner-directory.js';
import type { OwnerEntry } from '../directory/owner-entry.js';
import { whenEnded } from '../owner/outcomeEnd.js';
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
  isFullReason,
  type RequestProgress,
} from './dispatchRefusals.js';
import type { OfferLimit } from './offerLimit.js';
import { createOfferRecords, type OfferRecords } from './offerRecords.js';
import { type ChoiceState, createOwnerChoice, type OwnerChoice } from './ownerChoice.js';
import {
  createRequestAccount,
  type RequestAccount,
  type RequestAccountContext,
} from './requestAccount.js';
import type { OfferRecord } from './requestRecord.js';
import type { RetryAfterPacer } from './retryAfterPacer.js';

const FIRST_FAILED_STATUS = 500;

export interface DispatchResult {
  readonly result: OwnerAnswer | ClientRefusal;
  readonly offers: readonly OfferRecord[];
}

/** Dependencies on the node, which all its dispatches share. */
export interface DispatchContext extends RequestAccountContext {
  readonly crossZoneBudget: CrossZoneBudget;
  readonly retryAfterPacer: RetryAfterPacer;
  readonly offerLimit: OfferLimit;
  readonly crashTracker: CrashTracker;
  /** Undefined if the node does not follow roll-outs. */
  readonly versionSelector?: VersionSelector | undefined;
}

/** The dispatch of one request. */
export class Dispatch {
  /** Attempts that have not ended. */
  private readonly running = new Set<Attempt>();
  /** Running attempts whose owner has fallen silent. */
  private readonly silent = new Set<Attempt>();
  private readonly tried = new Set<OwnerEntry>();
  private readonly offers: OfferRecords;
  /** Number of attempts that reached, or may have reached, a back end. */
  private arrivals = 0;
  /** Number of owners in this node's zone that rejected the request because they were busy. */
  private busyInZone = 0;
  /** True if a back end may have run the request. */
  private mayHaveRun = false;
  private lastNotRun: OwnerNotRun | undefined;
  private readonly choice: OwnerChoice;
  private readonly versionSelection: VersionSelection;
  private readonly crashKey: RequestKey;
  private readonly refusals: DispatchRefusals;
  readonly account: RequestAccount;

  constructor(
    private readonly context: DispatchContext,
    private readonly task: OwnerTask,
    private readonly maxAttempts: number,
    /** Size of the request's body; infinite if it is unknown. */
    bodyBytes: number,
    readonly mayServe?: OwnerCriteria['mayServe'],
  ) {
    this.versionSelection =
      context.versionSelector?.select(task.service, task.route) ?? UNRESTRICTED_SELECTION;
    this.account = createRequestAccount(context, task);
    this.offers = createOfferRecords(context.clock);
    // This runs for each request, and naming the fields costs a fraction of spreading the context.
    const { clock, directory, crossZoneBudget, retryAfterPacer, crashTracker } = context;
    const { versionSelection: share } = this;
    this.choice = createOwnerChoice({
      directory,
      crossZoneBudget,
      task,
      bodyBytes,
      mayServe,
      share,
    });
    this.crashKey = crashKeyOf(task);
    this.refusals = createDispatchRefusals({
      clock,
      directory,
      retryAfterPacer,
      crashTracker,
      service: task.service,
      key: this.crashKey,
      mayServe,
    });
  }

  get history(): readonly OfferRecord[] {
    return this.offers.history;
  }

  /** Resolves with the final answer. The caller's timer ends it early by cancelling the task. */
  async run(): Promise<DispatchResult> {
    this.account.open();
    if (this.choice.isLarge) {
      this.context.crossZoneBudget.deposit();
    }
    for (;;) {
      if (this.running.size === this.silent.size) {
        const refusal = this.offerNext();
        // If no owner is left to ask, one that has fallen silent may still answer.
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

  /** Offers the request to one more owner. Returns a refusal if that is not possible. */
  private offerNext(): ClientRefusal | undefined {
    const refusal = this.refusalBeforeOffer();
    if (refusal) {
      return refusal;
    }
    const entry = this.choice.next(this.choiceState);
    if (!entry) {
      this.account.dropRetry();
      return this.refusals.noOwner(this.progress);
    }
    this.offer(entry);
    return undefined;
  }

  /** Waits until an attempt ends or the owner of the newest attempt falls silent. */
  private async firstOutcome(): Promise<OwnerOutcome | typeof SILENT> {
    const outcomes = [...this.running].map(async (attempt) => ({
      attempt,
      outcome: await attempt.outcome,
    }));
    const newest = [...this.running].find((attempt) => !this.silent.has(attempt));
    const first = await Promise.race(newest ? [...outcomes, newest.silence] : outcomes);
    if (first !== SILENT) {
      this.noteOutcome(first.attempt, first.outcome);
      return first.outcome;
    }
    this.noteSilence(newest as Attempt);
    return SILENT;
  }

  /** The refusal if no further offer may be made; undefined if one may be made. */
  private refusalBeforeOffer(): ClientRefusal | undefined {
    const now = this.context.clock.now();
    if (now >= this.task.deadlineAt || this.task.cancellation.cancelled) {
      return this.giveUp('deadline');
    }
    if (
      this.quarantineStatus === QuarantineStatus.Quarantined ||
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
      const areOwnersFull = !this.mayHaveRun && isFullReason(this.lastNotRun?.reason);
      return areOwnersFull
        ? this.refusals.ownersFull(this.progress)
        : this.giveUp('attempts-spent');
    }
    const isRetry = this.arrivals > 0;
    return isRetry && !this.account.payRetry() ? this.giveUp('retry-budget-spent') : undefined;
  }

  private giveUp(code: ClientRefusal['code']): ClientRefusal {
    return this.refusals.giveUp(code, this.progress);
  }

  private get progress(): RequestProgress {
    return { mayHaveRun: this.mayHaveRun, lastNotRun: this.lastNotRun };
  }

  private get choiceState(): ChoiceState {
    const { tried, busyInZone } = this;
    const isSuspect = this.quarantineStatus === QuarantineStatus.Suspect;
    return { tried, busyInZone, isSuspect, now: this.context.clock.now() };
  }

  private get quarantineStatus(): QuarantineStatus {
    return this.context.crashTracker.statusOf(this.crashKey, this.context.clock.now());
  }

  private offer(entry: OwnerEntry): void {
    const earlierOffers = this.tried.size;
    this.tried.add(entry);
    this.versionSelection.noteOffer(entry.record.node);
    // A suspect runs at this owner only, so it must be able to wait there.
    const mayWait =
      this.choice.mayWaitAt(entry, this.choiceState) ||
      this.quarantineStatus === QuarantineStatus.Suspect;
    const { clock } = this.context;
    this.account.noteOffer(entry);
    this.running.add(startAttempt({ entry, task: this.task, mayWait, clock, earlierOffers }));
  }

  /** The silent owner has received the task, so a back end may have received and run it. */
  private noteSilence(attempt: Attempt): void {
    this.silent.add(attempt);
    this.arrivals += 1;
    this.mayHaveRun = true;
    this.offers.note(attempt, SILENT);
  }

  private noteOutcome(attempt: Attempt, outcome: OwnerOutcome): void {
    const { entry } = attempt;
    this.running.delete(attempt);
    const hasCountedArrival = this.silent.delete(attempt);
    this.noteVersionOutcome(entry, outcome);
    this.account.noteOutcome(entry, outcome);
    if (outcome.kind === 'answer' || (outcome.kind === 'not-run' && outcome.reason === 'busy')) {
      const isAccepted = outcome.kind === 'answer';
      this.context.offerLimit.noteOutcome(this.task.route, attempt.earlierOffers, isAccepted);
    }
    if (outcome.kind === 'not-run') {
      const isBusyInOwnZone =
        outcome.reason === 'busy' && this.context.directory.isInOwnZone(entry);
      this.busyInZone += isBusyInOwnZone ? 1 : 0;
      this.lastNotRun = outcome;
      this.arrivals += outcome.arrived && !hasCountedArrival ? 1 : 0;
      const now = this.context.clock.now();
      entry.noteRejection(outcome.reason, this.task.priority, outcome.retryAfterMs, now);
    } else {
      this.arrivals += hasCountedArrival ? 0 : 1;
      this.mayHaveRun = true;
    }
    const detail = outcome.kind === 'answer' ? outcome.status : outcome.reason;
    this.offers.note(attempt, `${outcome.kind} ${detail}`);
    if (outcome.kind === 'answer' && outcome.end) {
      whenEnded(outcome, (finalOutcome) => this.noteEnd(attempt, finalOutcome));
    }
  }

  /** A streamed answer has been read to its end, or has broken off. */
  private noteEnd(attempt: Attempt, outcome: OwnerOutcome): void {
    if (outcome.kind !== 'answer') {
      this.noteVersionOutcome(attempt.entry, outcome);
      this.offers.note(attempt, `broken-off ${outcome.reason}`);
    }
  }

  private noteVersionOutcome({ record }: OwnerEntry, outcome: OwnerOutcome): void {
    if (outcome.kind === 'not-run' && !outcome.arrived) {
      this.versionSelection.noteUndelivered(record.node);
    } else if (this.hasFailed(outcome)) {
      this.versionSelection.noteFailure(record.node);
    }
  }

  /** False if the client left in time, as this says nothing about the back end. */
  private hasFailed(outcome: OwnerOutcome): boolean {
    if (outcome.kind === 'answer') {
      return outcome.status >= FIRST_FAILED_STATUS;
    }
    return outcome.reason !== 'cancelled' || this.context.clock.now() >= this.task.deadlineAt;
  }
}
