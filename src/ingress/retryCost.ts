/**
 * The whole cost of a retry: one arrival at the service of the request, and the calls that a run
 * makes anew, with the calls that these make in turn.
 */
import type { CallRate } from '../owner/callRates.js';

/** Expected arrivals at each service. */
export type RetryCost = ReadonlyMap<string, number>;

/** Largest number of calls in a chain that are followed. */
const MAX_DEPTH = 10;

/** Smaller parts, in arrivals, are left out, which also ends circles of calls. */
const MIN_PART = 0.01;

/** The calls of a service per run; undefined while no owner has reported them. */
export type CallRatesOf = (service: string) => readonly CallRate[] | undefined;

/** The cost if the calls of the service are known, or if it can be taken to make none. */
export function retryCostOf(service: string, ratesOf: CallRatesOf): RetryCost {
  const cost = new Map<string, number>();
  let level: RetryCost = new Map([[service, 1]]);
  for (let depth = 0; depth <= MAX_DEPTH && level.size > 0; depth += 1) {
    for (const [name, arrivals] of level) {
      cost.set(name, (cost.get(name) ?? 0) + arrivals);
    }
    level = callsOf(level, ratesOf);
  }
  return cost;
}

/** The cost if nothing is known of the calls: a run may call every service. */
export function unknownRetryCostOf(service: string, services: Iterable<string>): RetryCost {
  return new Map([...services, service].map((name) => [name, 1]));
}

function callsOf(level: RetryCost, ratesOf: CallRatesOf): RetryCost {
  const calls = new Map<string, number>();
  for (const [service, arrivals] of level) {
    for (const { service: called, perRun } of ratesOf(service) ?? []) {
      const part = arrivals * perRun;
      if (part >= MIN_PART) {
        calls.set(called, (calls.get(called) ?? 0) + part);
      }
    }
  }
  return calls;
}
