/** Finished requests and tasks as lines of the decision log and as metrics. */
import type { DecisionLog } from '../diagnostics/decision-log.js';
import type { SidecarMetrics } from '../diagnostics/sidecar-metrics.js';
import type { RolloutChange } from '../directory/rolloutController.js';
import type { RequestRecord } from '../ingress/requestRecord.js';
import type { OverdueRun } from '../owner/backEndObservations.js';
import type { OwnerReport, TaskRecord } from '../owner/owner-report.js';
import type { CrashAnnouncement } from '../quarantine/crashTracker.js';
import type { BackEndIncarnation } from '../registry/backEndIncarnation.js';
import type { TenantUsageCounter } from '../tenants/tenantUsage.js';

/** Statuses from here on are failures, of the back end or of this node. */
const FIRST_ERROR_STATUS = 400;

/** Where records go. */
export interface RecordSinks {
  readonly log: DecisionLog;
  readonly metrics: SidecarMetrics;
}

/** A client has its final answer, or has left; one that was answered at its first offer has no line. */
export function recordRequest(
  { log, metrics, tenantUse }: RecordSinks & { readonly tenantUse: TenantUsageCounter },
  record: RequestRecord,
): void {
  metrics.requestFinished(record);
  if (record.tenant !== undefined) {
    tenantUse.note(record.tenant, record.code === 'over-quota');
  }
  const { status, offers, durationMs, allowedMs, ...rest } = record;
  const isPlain = status > 0 && status < FIRST_ERROR_STATUS && offers.length < 2;
  if (!isPlain) {
    log.decision('request', {
      ...rest,
      status,
      offers,
      durationMs: Math.round(durationMs),
      allowedMs: Math.round(allowedMs),
    });
  }
}

/** A task has left this owner; one that found an answer has no line. */
export function recordTask(
  { log, metrics }: RecordSinks,
  record: TaskRecord,
  { inFlight, queued, slots, meanServiceMs }: OwnerReport,
): void {
  metrics.taskFinished(record);
  if (!record.result.startsWith('answer')) {
    log.decision('task', {
      ...record,
      inFlight,
      queued,
      slots,
      meanServiceMs: meanServiceMs && Math.round(meanServiceMs),
    });
  }
}

/** The back end here has crashed; the lines of the tasks that it lost have the same fingerprints. */
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

/** The back end here does not seem to answer a task. */
export function recordOverdue({ log, metrics }: RecordSinks, run: OverdueRun): void {
  metrics.runOverdue(run.route);
  const { usualMs, waitedMs, ...rest } = run;
  log.decision('overdue', {
    ...rest,
    usualMs: Math.round(usualMs),
    waitedMs: Math.round(waitedMs),
  });
}

/** An order, phase, decision or status of a roll-out. */
export function recordRollout(
  { log, metrics }: RecordSinks,
  { service, change, detail }: RolloutChange,
): void {
  metrics.rolloutChanged(change, String(detail.phase ?? detail.state ?? ''));
  log.event('rollout', { service, change, ...detail });
}
