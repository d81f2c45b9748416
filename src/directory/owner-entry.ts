/** This node's state of one owner: the owner's reports, and the outcomes of this node's tasks. */
import type { FullReason } from '../owner/admissionRequest.js';
import type { CallRate } from '../owner/callRates.js';
import type { NotRunReason, Owner } from '../owner/owner.js';
import type { PeerReport } from '../peer/peerMessages.js';

/** Record of a node that owns a back end. */
export interface OwnerRecord {
  readonly node: string;
  /** `host:port` at which other nodes reach it. */
  readonly address: string;
  readonly zone: string;
  /** Service of the node's back end. */
  readonly service: string;
  /** Capacity of the node's link in megabits per second, if configured. */
  readonly linkMbps?: number;
  /** Region and labels for placement policies, if configured. */
  readonly region?: string;
  readonly labels?: Readonly<Record<string, string>>;
  /** Mark in the last record of a node that leaves for good and accepts no more requests. */
  readonly hasLeft?: true;
}

/** Why an owner is absent, that is, receives no tasks. */
export type AbsenceReason = 'no-back-end' | 'draining' | 'stopping' | 'other-service' | 'silent';

/** A reported load loses its weight over this time, in milliseconds. */
const REPORT_LIFETIME_MS = 1_000;

/** A reported service time or failure share loses its weight over this time, in milliseconds. */
const SERVICE_TIME_LIFETIME_MS = 4_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Longest backoff in milliseconds after an owner has rejected a task as busy. */
const MAX_BACKOFF_MS = 60;

/**
 * Longest time, in milliseconds, for which the limit of a back end keeps requests from its owner
 * without a new report.
 */
const MAX_LIMIT_BACKOFF_MS = 500;

/** An owner whose back end fails this share of its tasks is chosen after the others. */
const FAILING_SHARE = 0.2;

/** Upper limit of the failure share in the expected time: a share of 1 would make it infinite. */
const MAX_FAILURE_SHARE = 0.9;

/** Number of slots assumed until an owner has reported. */
const DEFAULT_SLOTS = 4;

/** Owned by the directory. Every `now` is a steady time in milliseconds. */
export class OwnerEntry {
  /** Tasks that this node has sent to the owner and that are not finished. */
  outstanding = 0;
  absenceReason: AbsenceReason | undefined;
  /** Steady time in milliseconds of the next probe while the owner is absent. */
  probeAt = 0;
  /** Unsuccessful probes since the owner became absent. */
  failedProbes = 0;
  private report: PeerReport | undefined;
  private version: string | undefined;
  private knownCallRates: readonly CallRate[] | undefined;
  private reportedAt = Number.NEGATIVE_INFINITY;
  private outstandingAtReport = 0;
  private backoffUntil = 0;
  private backoffPriority = 0;
  private backoffReason: FullReason = 'busy';

  constructor(
    readonly record: OwnerRecord,
    readonly owner: Owner,
    /** Returns the current report of the owner on this node; left out for other owners. */
    private readonly localReport?: () => PeerReport,
  ) {}

  /** True for the owner on this node. */
  get isLocal(): boolean {
    return this.localReport !== undefined;
  }

  /**
   * True if a task of this priority may be offered. During a backoff, only a task with a lower
   * priority number (more urgent) than the rejected task may be. The owner on this node first
   * applies its current report.
   */
  isAvailable(priority: number, now: number): boolean {
    if (this.absenceReason) {
      return false;
    }
    if (this.localReport) {
      this.noteLoad(this.localReport(), now);
    }
    return now >= this.backoffUntil || priority < this.backoffPriority;
  }

  /**
   * Last reported version of the back end's software. It is kept over reports without a version,
   * since an owner that has restarted reports it late.
   */
  get backEndVersion(): string | undefined {
    return this.localReport?.().backEndVersion ?? this.version;
  }

  /** Calls that the back end makes for each request, by the last report that names them. */
  get callRates(): readonly CallRate[] | undefined {
    return this.localReport?.().callRates ?? this.knownCallRates;
  }

  get slots(): number {
    return this.report?.slots || DEFAULT_SLOTS;
  }

  /** Estimated number of tasks at the owner: of this node, and of others by the last report. */
  load(now: number): number {
    if (!this.report) {
      return this.outstanding;
    }
    const freshness = Math.max(0, 1 - (now - this.reportedAt) / REPORT_LIFETIME_MS);
    const otherTasks = this.report.inFlight + this.report.queued - this.outstandingAtReport;
    return this.outstanding + Math.max(0, otherTasks) * freshness;
  }

  /** Expected time in milliseconds until one more task would be finished. Lower is better. */
  expectedMs(now: number, defaultServiceMs: number): number {
    const reportWeight = this.reportWeight(now);
    const reportedMs = this.report?.meanServiceMs ?? defaultServiceMs;
    const serviceMs = reportedMs * reportWeight + defaultServiceMs * (1 - reportWeight);
    const attemptMs = Math.max(
      ((this.load(now) + 1) * serviceMs) / this.slots,
      Math.min(serviceMs, this.limitIntervalMs),
    );
    // A failed task has to be retried if possible: this is the time until an attempt succeeds.
    return attemptMs / (1 - Math.min(this.failureShare(now), MAX_FAILURE_SHARE));
  }

  /**
   * Milliseconds between two requests at the back end's limit; 0 without a limit. At most a service
   * time of it counts in the choice: the owner then ranks like one whose last slot alone is free.
   */
  private get limitIntervalMs(): number {
    const limitPerS = this.report?.limitPerS;
    return limitPerS === undefined ? 0 : MILLISECONDS_PER_SECOND / limitPerS;
  }

  /** True if the back end has named a limit. */
  get isLimited(): boolean {
    return this.report?.limitPerS !== undefined;
  }

  /** True while the back end's limit allows no further request. */
  isLimitReached(now: number): boolean {
    const waitMs = Math.min(this.report?.limitWaitMs ?? 0, MAX_LIMIT_BACKOFF_MS);
    return now < this.reportedAt + waitMs;
  }

  /** Share of its tasks that the owner's back end fails, reduced by the report's age. */
  failureShare(now: number): number {
    return (this.report?.failureShare ?? 0) * this.reportWeight(now);
  }

  /** True while the back end fails so many tasks that other owners are preferred. */
  isFailing(now: number): boolean {
    return this.failureShare(now) >= FAILING_SHARE;
  }

  /** Weight of the last report, from 1 to 0 as it ages. */
  private reportWeight(now: number): number {
    return Math.max(0, 1 - (now - this.reportedAt) / SERVICE_TIME_LIFETIME_MS);
  }

  get meanServiceMs(): number | undefined {
    return this.report?.meanServiceMs;
  }

  /** Applies a report; if the back end is ready for the record's service, the absence ends. */
  noteReport(report: PeerReport, now: number): void {
    this.noteLoad(report, now);
    if (report.ready && report.service === this.record.service) {
      this.absenceReason = undefined;
      this.failedProbes = 0;
    }
  }

  private noteLoad(report: PeerReport, now: number): void {
    this.report = report;
    if (report.limitPerS === undefined && this.backoffReason === 'limited') {
      this.backoffUntil = 0;
    }
    this.version = report.backEndVersion ?? this.version;
    this.knownCallRates = report.callRates ?? this.knownCallRates;
    this.reportedAt = now;
    this.outstandingAtReport = this.outstanding;
  }

  /** Records the rejection of a task. */
  noteRejection(
    reason: NotRunReason,
    priority: number,
    retryAfterMs: number | undefined,
    now: number,
  ): void {
    switch (reason) {
      case 'busy':
      case 'limited': {
        const maxMs = reason === 'limited' ? MAX_LIMIT_BACKOFF_MS : MAX_BACKOFF_MS;
        this.backoffUntil = now + Math.min(maxMs, retryAfterMs ?? MAX_BACKOFF_MS);
        this.backoffPriority = priority;
        this.backoffReason = reason;
        return;
      }
      case 'no-back-end':
      case 'draining':
      case 'stopping':
      case 'other-service':
        this.markAbsent(reason, now);
        return;
      case 'connect-failed':
      case 'other-instance':
        this.markAbsent('no-back-end', now);
        return;
      default:
    }
  }

  /** Marks the owner as absent until it reports that it is ready. */
  markAbsent(absence: AbsenceReason, now: number): void {
    if (!this.absenceReason) {
      this.probeAt = now + FIRST_PROBE_MS;
      this.failedProbes = 0;
    }
    this.absenceReason = absence;
  }

  /** Releases the owner's resources; called when the owner is removed, not when it is replaced. */
  close(): void {
    this.owner.close?.();
  }

  /** True during a backoff because of the back end's limit. */
  hasLimitBackoff(now: number): boolean {
    return this.backoffReason === 'limited' && now < this.backoffUntil;
  }

  /** Remaining backoff in milliseconds. */
  backoffMs(now: number): number {
    return Math.max(0, this.backoffUntil - now);
  }
}

/** Time from the start of an absence to the first probe, in milliseconds. */
const FIRST_PROBE_MS = 300;
