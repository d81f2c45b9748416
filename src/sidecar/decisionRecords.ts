/** Writes the outcomes of requests, tasks, crashes and roll-outs to the log and the metrics. */
import type { DecisionLog } from '../diagnostics/decision-log.js';
import type { SidecarMetrics } from '../diagnostics/sidecar-metrics.js';
import type { RolloutChange } from '../directory/rolloutController.js';
import { RequestEnding, type RequestRecord } from '../ingress/requestRecord.js';
import type { OverdueRun } from '../owner/backEndObservations.js';
import type { NoticeChange } from '../owner/noticeHandler.js';
import type { OwnerReport, TaskRecord } from '../owner/owner-report.js';
import type { CrashAnnouncement } from '../quarantine/crashTracker.js';
import type { BackEndIncarnation } from '../registry/backEndIncarnation.js';
import type { TenantUsageCounter } from '../tenants/tenantUsage.js';

/** Lowest HTTP status that is an error, of the back end or of this node. */
const FIRST_ERROR_STATUS = 400;

/** Destinations of the records. */
export interface RecordSinks {
  readonly log: DecisionLog;
  readonly metrics: SidecarMetrics;
}

/**
 * Records a request whose answer has been sent to its end or broken off, or whose client has left.
 * A request that succeeded with its first offer is not logged.
 */
export function recordRequest(
  { log, metrics, tenantUse }: RecordSinks & { readonly tenantUse: TenantUsageCounter },
  record: RequestRecord,
): void {
  metrics.requestFinished(record);
  if (record.tenant !== undefined) {
    tenantUse.note(record.tenant, record.code === 'over-quota');
  }
  const { status, offers, durationMs, allowedMs, ...otherFields } = record;
  const isAnswered = record.code === RequestEnding.Answered && status < FIRST_ERROR_STATUS;
  const isRoutine = isAnswered && offers.length < 2;
  if (!isRoutine) {
    log.decision('request', {
      ...otherFields,
      status,
      offers,
      durationMs: Math.round(durationMs),
      allowedMs: Math.round(allowedMs),
    });
  }
}

/** Records a task that has left this owner. A task that the back end answered is not logged. */
export function recordTask(
  { log, metrics }: RecordSinks,
  record: TaskRecord,
  { inFlight, queued, slots, meanServiceMs, limitPerS }: OwnerReport,
): void {
  metrics.taskFinished(record);
  if (!record.result.startsWith('answer')) {
    log.decision('task', {
      ...record,
      inFlight,
      queued,
      slots,
      meanServiceMs: meanServiceMs && Math.round(meanServiceMs),
      limitPerS,
    });
  }
}

/**
 * Records a crash of the local back end. The log lines of the tasks that were lost with it hold the
 * same fingerprints.
 */
export function recordCrash(
  { log, metrics }: RecordSinks,
  { instance, bornAt }: BackEndIncarnation,
  { suspects, quarantined }: CrashAnnouncement,
): void {
  metrics.backEndCrashed();
  log.event('crash', {
    instance,
    bornAt,
    suspects: suspects.map(({ fingerprint }) => fingerprint),
    quarantined: quarantined.length,
  });
}

/** Records an overdue run: the local back end does not seem to answer it. */
export function recordOverdue({ log, metrics }: RecordSinks, run: OverdueRun): void {
  metrics.runOverdue(run.route);
  const { usualMs, waitedMs, ...otherFields } = run;
  log.decision('overdue', {
    ...otherFields,
    usualMs: Math.round(usualMs),
    waitedMs: Math.round(waitedMs),
  });
}

/** Records a change of what the local back end reports about itself in its answers. */
export function recordNotice(
  { log, metrics }: RecordSinks,
  { incarnation, source, field, limitPerS }: NoticeChange,
): void {
  const { instance, bornAt } = incarnation;
  metrics.noticeChanged(field);
  log.decision('notice', { instance, bornAt, source, field, limitPerS });
}

/** Records an order, phase, decision or status of a roll-out. */
export function recordRollout(
  { log, metrics }: RecordSinks,
  { service, change, detail }: RolloutChange,
): void {
  metrics.rolloutChanged(change, String(detail.phase ?? detail.state ?? ''));
  log.event('rollout', { service, change, ...detail });
}
