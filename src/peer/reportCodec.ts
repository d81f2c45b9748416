/** How a node's report of itself travels: as a list, in a fixed order. */
import {
  isNonNegativeInteger,
  isNonNegativeNumber,
  nonNegativeNumberOr,
} from '../codec/numberGuards.js';
import type { PeerReport } from './peerMessages.js';

/** A report tells shares and slowness in whole parts of a hundred. */
const PERCENT = 100;

/** Renders a report as a list. */
export function encodeReport(report: PeerReport): unknown[] {
  return [
    report.service,
    report.ready,
    report.inFlight,
    report.queued,
    report.slots,
    report.meanServiceMs === undefined ? undefined : Math.round(report.meanServiceMs),
    report.version,
    Math.round(report.failureShare * PERCENT),
    report.backEndVersion,
    report.bornAt,
    Math.round(report.slowness * PERCENT),
    report.waiting,
  ];
}

/** Reads a list; undefined when it holds no report. */
export function decodeReport(value: unknown): PeerReport | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [
    service,
    ready,
    inFlight,
    queued,
    slots,
    meanServiceMs,
    version,
    failed,
    backEndVersion,
    bornAt,
    slowness,
    waiting,
  ] = value as unknown[];
  const counts = [inFlight, queued, slots, version];
  if (!counts.every(isNonNegativeNumber)) {
    return undefined;
  }
  return {
    service: typeof service === 'string' ? service : undefined,
    ready: ready === true,
    inFlight: inFlight as number,
    queued: queued as number,
    slots: slots as number,
    meanServiceMs: nonNegativeNumberOr(meanServiceMs, undefined),
    version: version as number,
    failureShare: nonNegativeNumberOr(failed, 0) / PERCENT,
    backEndVersion: typeof backEndVersion === 'string' ? backEndVersion : undefined,
    bornAt: isNonNegativeInteger(bornAt) ? bornAt : undefined,
    slowness: (nonNegativeNumberOr(slowness, PERCENT) || PERCENT) / PERCENT,
    waiting: nonNegativeNumberOr(waiting, 0),
  };
}
