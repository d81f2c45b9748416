/** What this node knows of one owner: from its reports and from what it has seen itself. */
import type { NotRunReason, Owner } from '../owner/owner.js';
import type { PeerReport } from '../peer/peerMessages.js';

/** Identity of a node that owns a back end. */
export interface OwnerRecord {
  readonly node: string;
  /** `host:port` for other nodes. */
  readonly address: string;
  readonly zone: string;
  /** Service of the back end that runs beside the node. */
  readonly service: string;
  /** Megabits a second of the node's link, where its settings tell. */
  readonly linkMbps?: number;
  /** For placement policies, where the settings tell them. */
  readonly region?: string;
  readonly labels?: Readonly<Record<string, string>>;
  /** True in the last record of a node that leaves for good: it lets nothing through any more. */
  readonly hasLeft?: true;
}

/** Why an owner is not asked. */
export type AbsenceReason = 'no-back-end' | 'draining' | 'stopping' | 'other-service' | 'silent';

/** A report tells nothing of the present load after this time, in milliseconds. */
const REPORT_LIFETIME_MS = 1_000;

/** A reported service time or failure share is believed less and less for so long, in milliseconds. */
const SERVICE_TIME_LIFETIME_MS = 4_000;

/** An owner that turned a task away as busy is left alone at the most this long, in milliseconds. */
const MAX_BACKOFF_MS = 60;

/** A back end that fails this share of its tasks is asked after those that do not. */
const FAILING_SHARE = 0.2;

/** A share above this makes no further difference. */
const MAX_FAILURE_SHARE = 0.9;

/** Assumed until an owner has reported. */
const DEFAULT_SLOTS = 4;

/** Owned by the directory. */
export class OwnerEntry {
  /** Tasks of this node that the owner has not finished. */
  outstanding = 0;
  absenceReason: AbsenceReason | undefined;
  /** Steady time in milliseconds of the next status call while the owner is absent. */
  probeAt = 0;
  /** Status calls without success since the owner became absent. */
  failedProbes = 0;
  private report: PeerReport | undefined;
  private version: string | undefined;
  private reportedAt = Number.NEGATIVE_INFINITY;
  private outstandingAtReport = 0;
  private backoffUntil = 0;
  private backoffPriority = 0;

  constructor(
    readonly record: OwnerRecord,
    readonly owner: Owner,
    /** Present report of the owner on this very node; left out for the others. */
    private readonly localReport?: () => PeerReport,
  ) {}

  /** True for the owner on this very node. */
  get isLocal(): boolean {
    return this.localReport !== undefined;
  }

  /** True when a task of this priority may be offered. */
  isAvailable(priority: number, now: number): boolean {
    if (this.absenceReason) {
      return false;
    }
    if (this.localReport) {
      this.noteLoad(this.localReport(), now);
    }
    return now >= this.backoffUntil || priority < this.backoffPriority;
  }

  /** Version of the back end's software, as last told: an owner that has started anew tells it late. */
  get backEndVersion(): string | undefined {
    return this.localReport?.().backEndVersion ?? this.version;
  }

  get slots(): number {
    return this.report?.slots || DEFAULT_SLOTS;
  }

  /** Tasks at the owner, as far as known. */
  load(now: number): number {
    if (!this.report) {
      return this.outstanding;
    }
    const freshness = Math.max(0, 1 - (now - this.reportedAt) / REPORT_LIFETIME_MS);
    const others = this.report.inFlight + this.report.queued - this.outstandingAtReport;
    return this.outstanding + Math.max(0, others) * freshness;
  }

  /** Expected time in milliseconds until one more task would be done. Lower is better. */
  expectedMs(now: number, defaultServiceMs: number): number {
    const reportWeight = this.reportWeight(now);
    const reportedMs = this.report?.meanServiceMs ?? defaultServiceMs;
    const serviceMs = reportedMs * reportWeight + defaultServiceMs * (1 - reportWeight);
    const onceMs = ((this.load(now) + 1) * serviceMs) / this.slots;
    // What fails has to be done again, if it can be: the time until it succeeds.
    return onceMs / (1 - Math.min(this.failureShare(now), MAX_FAILURE_SHARE));
  }

  /** Share of its tasks that the owner's back end fails, as far as that is still believed. */
  failureShare(now: number): number {
    return (this.report?.failureShare ?? 0) * this.reportWeight(now);
  }

  /** True while the back end fails so much that others are asked first. */
  isFailing(now: number): boolean {
    return this.failureShare(now) >= FAILING_SHARE;
  }

  /** How far the last report is believed: from 1 to 0 as it grows old. */
  private reportWeight(now: number): number {
    return Math.max(0, 1 - (now - this.reportedAt) / SERVICE_TIME_LIFETIME_MS);
  }

  get meanServiceMs(): number | undefined {
    return this.report?.meanServiceMs;
  }

  /** Takes the owner's own report. */
  noteReport(report: PeerReport, now: number): void {
    this.noteLoad(report, now);
    if (report.ready && report.service === this.record.service) {
      this.absenceReason = undefined;
      this.failedProbes = 0;
    }
  }

  private noteLoad(report: PeerReport, now: number): void {
    this.report = report;
    this.version = report.backEndVersion ?? this.version;
    this.reportedAt = now;
    this.outstandingAtReport = this.outstanding;
  }

  /** Takes note of a task that was turned away. */
  noteRejection(
    reason: NotRunReason,
    priority: number,
    retryAfterMs: number | undefined,
    now: number,
  ): void {
    switch (reason) {
      case 'busy':
        this.backoffUntil = now + Math.min(MAX_BACKOFF_MS, retryAfterMs ?? MAX_BACKOFF_MS);
        this.backoffPriority = priority;
        return;
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

  /** The owner is not asked again until it has said that it is ready. */
  markAbsent(absence: AbsenceReason, now: number): void {
    if (!this.absenceReason) {
      this.probeAt = now + FIRST_PROBE_MS;
      this.failedProbes = 0;
    }
    this.absenceReason = absence;
  }

  /** The owner is known no longer. */
  close(): void {
    this.owner.close?.();
  }

  /** Milliseconds until the owner may be asked again. */
  backoffMs(now: number): number {
    return Math.max(0, this.backoffUntil - now);
  }
}

/** Time until an absent owner is first asked for its status, in milliseconds. */
const FIRST_PROBE_MS = 300;
