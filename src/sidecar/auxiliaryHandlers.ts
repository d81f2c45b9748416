/** Handlers of a sidecar's auxiliary listeners: metrics, readiness and registrations. */

import type { SidecarGauges, SidecarMetrics } from '../diagnostics/sidecar-metrics.js';
import { type NoteUnreadable, UnreadableEntryKind } from '../diagnostics/unreadableLog.js';
import type { TrafficTotals } from '../diagnostics/usageReporter.js';
import type { LocalOwner } from '../owner/local-owner.js';
import type { AuxiliaryHandler, AuxiliaryResponse } from './auxiliaryServer.js';
import type { PlatformAdapter } from './platformAdapter.js';

/** Path and media type of the metrics (Prometheus text format, version 0.0.4). */
const METRICS_PATH = '/metrics';
const METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

const JSON_TYPE = 'application/json';

/** `gauges` returns current values; `totals` holds bytes since the start. */
export function createMetricsHandler(
  metrics: SidecarMetrics,
  gauges: () => SidecarGauges,
  totals: TrafficTotals,
): AuxiliaryHandler {
  return async ({ path }) => {
    if (path.split('?')[0] !== METRICS_PATH) {
      return { status: 404, contentType: 'text/plain', body: 'see /metrics\n' };
    }
    return { status: 200, contentType: METRICS_TYPE, body: await metrics.scrape(gauges(), totals) };
  };
}

export function createReadinessHandler(
  platform: PlatformAdapter,
  isReady: () => boolean,
): AuxiliaryHandler {
  return ({ method, path }) => {
    const ready = isReady();
    const isReadinessCall = platform.isReadinessCall(method, path);
    const status = isReadinessCall ? (ready ? 200 : 503) : 404;
    return { status, contentType: JSON_TYPE, body: `{"ready":${ready}}` };
  };
}

/**
 * Handles registrations of the local back end. A valid one takes effect before its response is
 * sent. A heartbeat for a service that is not configured has no effect, is logged and gets 200.
 */
export function createRegistrationHandler(
  platform: PlatformAdapter,
  owner: Pick<LocalOwner, 'heartbeat' | 'deregister'>,
  noteUnreadable: NoteUnreadable,
): AuxiliaryHandler {
  return ({ method, path, body }) => {
    const registration = platform.decodeRegistration(method, path, body);
    switch (registration.kind) {
      case 'heartbeat':
        if (!owner.heartbeat(registration.beat)) {
          const { instance, service } = registration.beat;
          noteUnreadable(UnreadableEntryKind.Heartbeat, instance, `no service is named ${service}`);
        }
        return emptyResponse(200);
      case 'deregister':
        owner.deregister(registration.life);
        return emptyResponse(200);
      default:
        noteUnreadable(UnreadableEntryKind.Heartbeat, path, registration.reason);
        return emptyResponse(400);
    }
  };
}

function emptyResponse(status: number): AuxiliaryResponse {
  return { status, contentType: JSON_TYPE, body: '{}' };
}
