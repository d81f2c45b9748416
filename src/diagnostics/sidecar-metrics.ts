/** Metrics of a sidecar in the Prometheus text format. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { RetryRecord } from '../ingress/requestAccount.js';
import type { RequestRecord } from '../ingress/requestRecord.js';
import type { TaskRecord } from '../owner/owner-report.js';
import type { TrafficTotals } from './usageReporter.js';

const DURATION_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

const MILLISECONDS_PER_SECOND = 1_000;

/** Number of tenants that are counted by name; each adds one time series per code. */
const NAMED_TENANTS = 10;

/** Label value of all other tenants. */
const OTHER_TENANTS = 'other';

/** Values read at a scrape. Each field name is the name of a metric. */
export interface SidecarGauges {
  readonly requests_in_flight: number;
  readonly owner_running: number;
  readonly owner_queued: number;
  readonly owner_slots: number;
  readonly owner_ready: number;
  readonly owner_failure_share: number;
  readonly owner_back_end_slowness: number;
  readonly owner_back_end_waiting: number;
  /** Requests per second that the local back end accepts; infinite if it names no limit. */
  readonly owner_limit_per_second: number;
  readonly owners_present: number;
  readonly owners_absent: number;
  readonly quarantined_requests: number;
  readonly rollouts_running: number;
  /**
   * Sums over the services that have an order, since this node began to follow it: requests, offers
   * to the version, and bad answers of the version.
   */
  readonly rollout_requests: number;
  readonly rollout_offers: number;
  readonly rollout_bad_answers: number;
  readonly configuration_version: number;
  readonly configuration_age_seconds: number;
  readonly store_connected: number;
  readonly store_era: number;
  readonly log_lines_dropped: number;
}

/** One per node. It owns a registry, so that nodes in one process do not share counters. */
export class SidecarMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'spindlepaddle_requests_total',
    help: 'Client requests by status class and code of the outcome',
    labelNames: ['status', 'code'],
    registers: [this.registry],
  });
  private readonly tenantRequests = new Counter({
    name: 'spindlepaddle_tenant_requests_total',
    help: 'Requests with a key by tenant (by name for the ten highest limits) and outcome code',
    labelNames: ['tenant', 'code'],
    registers: [this.registry],
  });
  /** Tenants with their own label. Later versions add none, which limits the number of labels. */
  private namedTenants: ReadonlySet<string> | undefined;
  private readonly offers = new Counter({
    name: 'spindlepaddle_offers_total',
    help: 'Offers to owners by result',
    labelNames: ['result'],
    registers: [this.registry],
  });
  private readonly departures = new Counter({
    name: 'spindlepaddle_departures_total',
    help: 'Clients that left before their answer, by how they left and how often it was offered',
    labelNames: ['how', 'offers'],
    registers: [this.registry],
  });
  private readonly retries = new Counter({
    name: 'spindlepaddle_retries_total',
    help: 'Requests with a retry, by service and by whether the latest one was paid or denied',
    labelNames: ['service', 'result'],
    registers: [this.registry],
  });
  private readonly retryArrivals = new Counter({
    name: 'spindlepaddle_retry_arrivals_total',
    help: 'Arrivals for which paid retries were charged, calls included, by service',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly tasks = new Counter({
    name: 'spindlepaddle_tasks_total',
    help: 'Tasks at this owner by result',
    labelNames: ['result'],
    registers: [this.registry],
  });
  private readonly crashes = new Counter({
    name: 'spindlepaddle_back_end_crashes_total',
    help: 'Crashes of the local back end while requests were in flight',
    registers: [this.registry],
  });
  private readonly overdueRuns = new Counter({
    name: 'spindlepaddle_runs_overdue_total',
    help: 'Runs that the local back end does not answer, while it answers later runs or no runs',
    labelNames: ['route'],
    registers: [this.registry],
  });
  private readonly noticeChanges = new Counter({
    name: 'spindlepaddle_back_end_notices_total',
    help: 'Changes of what the local back end reports about itself in its answers: limit, leaving',
    labelNames: ['field'],
    registers: [this.registry],
  });
  private readonly storeCalls = new Counter({
    name: 'spindlepaddle_store_calls_total',
    help: 'Calls to the store by operation and result',
    labelNames: ['operation', 'result'],
    registers: [this.registry],
  });
  private readonly rolloutChanges = new Counter({
    name: 'spindlepaddle_rollout_changes_total',
    help: 'Roll-out orders, phases, decisions and statuses at this node, by resulting phase or state',
    labelNames: ['change', 'to'],
    registers: [this.registry],
  });
  private readonly peerBytes = new Counter({
    name: 'spindlepaddle_peer_sent_bytes_total',
    help: 'Bytes sent to other nodes by kind of message',
    labelNames: ['message'],
    registers: [this.registry],
  });
  private readonly storeBytes = new Counter({
    name: 'spindlepaddle_store_received_bytes_total',
    help: 'Bytes received from the store by kind of object',
    labelNames: ['kind'],
    registers: [this.registry],
  });
  private readonly relayBytes = new Counter({
    name: 'spindlepaddle_relay_answer_bytes_total',
    help: 'Bytes of answers to nodes that read the store through this one, by kind of object',
    labelNames: ['kind'],
    registers: [this.registry],
  });
  private readonly stages = new Histogram({
    name: 'spindlepaddle_stage_seconds',
    help: 'Time by service and stage: total (at the ingress), queue and back-end (at the owner)',
    labelNames: ['service', 'stage'],
    buckets: DURATION_BUCKETS_SECONDS,
    registers: [this.registry],
  });
  private readonly gauges = new Map<string, Gauge>();

  /** Selects the tenants to count by name, from the first configuration that has any. */
  noteTenants(tenants: readonly { readonly name: string; readonly ratePerS: number }[]): void {
    if (!this.namedTenants && tenants.length > 0) {
      const largest = [...tenants].sort((left, right) => right.ratePerS - left.ratePerS);
      this.namedTenants = new Set(largest.slice(0, NAMED_TENANTS).map(({ name }) => name));
    }
  }

  /** Called when a client has received its final answer or has left. */
  requestFinished(record: RequestRecord): void {
    this.requests.inc({ status: `${Math.floor(record.status / 100)}xx`, code: record.code });
    if (record.tenant !== undefined) {
      const tenant = this.namedTenants?.has(record.tenant) ? record.tenant : OTHER_TENANTS;
      this.tenantRequests.inc({ tenant, code: record.code });
    }
    for (const offer of record.offers) {
      this.offers.inc({ result: offer.result });
    }
    if (record.departure) {
      this.departures.inc({ how: record.departure, offers: String(record.offers.length) });
    }
    if (record.retry) {
      this.retryFinished(record.service, record.retry);
    }
    this.observeStage(record.service, 'total', record.durationMs);
  }

  private retryFinished(service: string, { cost, spentAt }: RetryRecord): void {
    if (spentAt !== undefined) {
      this.retries.inc({ service: spentAt, result: 'denied' });
      return;
    }
    this.retries.inc({ service, result: 'paid' });
    for (const [charged, arrivals] of Object.entries(cost)) {
      this.retryArrivals.inc({ service: charged }, arrivals);
    }
  }

  /** Called when a task has left this owner. */
  taskFinished(record: TaskRecord): void {
    this.tasks.inc({ result: record.result });
    this.observeStage(record.service, 'queue', record.queuedMs);
    if (record.backEndMs !== undefined) {
      this.observeStage(record.service, 'back-end', record.backEndMs);
    }
  }

  backEndCrashed(): void {
    this.crashes.inc();
  }

  /** Called when the local back end does not seem to answer a run. */
  runOverdue(route: string): void {
    this.overdueRuns.inc({ route });
  }

  /** Called when the local back end has named another limit, or that it is leaving. */
  noticeChanged(field: string): void {
    this.noticeChanges.inc({ field });
  }

  /**
   * Counts an order, phase, decision or status of a roll-out. `to` is the phase or state, or empty
   * if the change has none.
   */
  rolloutChanged(change: string, to: string): void {
    this.rolloutChanges.inc({ change, to });
  }

  /** Called when a call to the store has succeeded or failed. */
  storeCalled(operation: string, result: string): void {
    this.storeCalls.inc({ operation, result });
  }

  /** Returns the text of a scrape. `totals` holds bytes since the start. */
  scrape(values: SidecarGauges, totals: TrafficTotals): Promise<string> {
    setTotals(this.peerBytes, totals.sent);
    setTotals(this.storeBytes, totals.received);
    setTotals(this.relayBytes, totals.relayed);
    for (const [name, value] of Object.entries(values)) {
      this.gauge(name).set(value);
    }
    return this.registry.metrics();
  }

  private observeStage(service: string, stage: string, durationMs: number): void {
    this.stages.observe({ service, stage }, durationMs / MILLISECONDS_PER_SECOND);
  }

  private gauge(name: string): Gauge {
    const existing = this.gauges.get(name);
    if (existing) {
      return existing;
    }
    const created = new Gauge({
      name: `spindlepaddle_${name}`,
      help: `Current value of ${name.replaceAll('_', ' ')}`,
      registers: [this.registry],
    });
    this.gauges.set(name, created);
    return created;
  }
}

/**
 * Sets a counter to sums that are kept outside the metrics, so that each message costs only an
 * addition. Called at each scrape.
 */
function setTotals(counter: Counter, totals: Readonly<Record<string, number>>): void {
  counter.reset();
  for (const [label, bytes] of Object.entries(totals)) {
    counter.labels(label).inc(bytes);
  }
}
