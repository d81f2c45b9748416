/** Encodes and decodes a node's report as a list in a fixed order. */
import {
  isNonNegativeInteger,
  isNonNegativeNumber,
  nonNegativeNumberOr,
} from '../codec/numberGuards.js';
import type { CallRate } from '../owner/callRates.js';
import type { PeerReport } from './peerMessages.js';

/** Shares, slowness and calls per run are sent as whole percentages. */
const PERCENT = 100;

/** Largest number of called services in a report. */
const MAX_CALL_RATES = 64;

/** Encodes a report as a list. */
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
    report.limitPerS,
    Math.ceil(report.limitWaitMs),
    report.callRates && encodeCallRates(report.callRates),
  ];
}

/** Decodes a list. Undefined if it is not a valid report. */
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
    failurePercent,
    backEndVersion,
    bornAt,
    slownessPercent,
    waiting,
    limitPerS,
    limitWaitMs,
    callRates,
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
    failureShare: nonNegativeNumberOr(failurePercent, 0) / PERCENT,
    backEndVersion: typeof backEndVersion === 'string' ? backEndVersion : undefined,
    bornAt: isNonNegativeInteger(bornAt) ? bornAt : undefined,
    slowness: (nonNegativeNumberOr(slownessPercent, PERCENT) || PERCENT) / PERCENT,
    waiting: nonNegativeNumberOr(waiting, 0),
    limitPerS: nonNegativeNumberOr(limitPerS, undefined),
    limitWaitMs: nonNegativeNumberOr(limitWaitMs, 0),
    callRates: decodeCallRates(callRates),
  };
}

/** Names and hundredths by turns. */
function encodeCallRates(rates: readonly CallRate[]): unknown[] {
  return rates.flatMap(({ service, perRun }) => [service, Math.ceil(perRun * PERCENT)]);
}

/** Undefined if any of it is malformed: part of the rates would make retries too cheap. */
function decodeCallRates(value: unknown): CallRate[] | undefined {
  if (!Array.isArray(value) || value.length > 2 * MAX_CALL_RATES) {
    return undefined;
  }
  const rates: CallRate[] = [];
  for (let index = 0; index < value.length; index += 2) {
    const [service, hundredths] = value.slice(index, index + 2) as unknown[];
    if (typeof service !== 'string' || !isNonNegativeNumber(hundredths)) {
      return undefined;
    }
    rates.push({ service, perRun: hundredths / PERCENT });
  }
  return rates;
}
