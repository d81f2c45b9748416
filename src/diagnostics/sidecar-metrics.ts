/** Metrics of a sidecar in the Prometheus text format. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { RequestRecord } from '../ingress/ingress-server.js';

const DURATION_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

const MILLISECONDS_PER_SECOND = 1_000;

/** Values read at the moment of a scrape. */
export interface SidecarGauges {
  readonly in_flight: number;
  readonly owner_running: number;
  readonly owner_queued: number;
  readonly owner_slots: number;
  readonly owners_present: number;
  readonly owners_absent: number;
  readonly store_connected: number;
  readonly log_lines_dropped: number;
}

/** One per node. */
export class SidecarMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'spindlepaddle_requests_total',
    help: 'Requests of clients by class of status and code of the outcome',
    labelNames: ['status', 'code'],
    registers: [this.registry],
  });
  private readonly offers = new Counter({
    name: 'spindlepaddle_offers_total',
    help: 'Offers to owners by result',
    labelNames: ['result'],
    registers: [this.registry],
  });
  private readonly duration = new Histogram({
    name: 'spindlepaddle_request_seconds',
    help: 'Time from the head of a request to its final answer',
    labelNames: ['service'],
    buckets: DURATION_BUCKETS_SECONDS,
    registers: [this.registry],
  });
  private readonly version = new Gauge({
    name: 'spindlepaddle_configuration_version',
    help: 'Configuration version in force',
    registers: [this.registry],
  });
  private readonly gauges = new Map<string, Gauge>();

  requestFinished(record: RequestRecord): void {
    this.requests.inc({ status: `${Math.floor(record.status / 100)}xx`, code: record.code });
    for (const offer of record.offers) {
      this.offers.inc({ result: offer.result });
    }
    this.duration.observe({ service: record.service }, record.durationMs / MILLISECONDS_PER_SECOND);
  }

  configurationInForce(version: number, _now: number): void {
    this.version.set(version);
  }

  /** The text of a scrape. */
  scrape(values: SidecarGauges): Promise<string> {
    for (const [name, value] of Object.entries(values)) {
      this.gauge(name).set(value);
    }
    return this.registry.metrics();
  }

  private gauge(name: string): Gauge {
    const known = this.gauges.get(name);
    if (known) {
      return known;
    }
    const created = new Gauge({
      name: `spindlepaddle_${name}`,
      help: `Present value of ${name.replaceAll('_', ' ')}`,
      registers: [this.registry],
    });
    this.gauges.set(name, created);
    return created;
  }
}
