/** Accounts for one request in the retry budget: for the request itself and for its retries. */

import type { OwnerDirectory } from '../directory/owner-directory.js';
import type { OwnerEntry } from '../directory/owner-entry.js';
import type { Clock } from '../model/clock.js';
import type { CallRates } from '../owner/callRates.js';
import type { OwnerOutcome, OwnerTask } from '../owner/owner.js';
import type { CallRoutes } from './callRoutes.js';
import { type RetryCost, retryCostOf, unknownRetryCostOf } from './retryCost.js';
import type { RetryPayment, SharedRetryBudget } from './shared-retry-budget.js';

/** Dependencies on the node, which the accounts of all requests share. */
export interface RequestAccountContext {
  readonly clock: Clock;
  readonly directory: OwnerDirectory;
  readonly retryBudget: SharedRetryBudget;
  readonly callRoutes: CallRoutes;
  readonly callRates: CallRates;
}

/** What the latest retry of a request cost, or would have cost, for the log. */
export interface RetryRecord {
  /** Arrivals at each service, among them the calls that the repeated run makes. */
  readonly cost: Readonly<Record<string, number>>;
  /** The service whose budget was spent, if the retry was denied for that. */
  readonly spentAt?: string | undefined;
}

export interface RequestAccount {
  /** The latest retry. Undefined if there was none. */
  readonly retry: RetryRecord | undefined;
  /** Records the request. Called once, before the first offer. */
  open(): void;
  /** Pays for the next offer with all its calls. False if the budget of some service is spent. */
  payRetry(): boolean;
  /** Takes back what was paid, as no owner is left to offer the request to. */
  dropRetry(): void;
  /** Records an offer. It uses the payment, if there is one. */
  noteOffer(entry: OwnerEntry): void;
  /** Records the outcome of an offer. What did not reach a back end costs nothing. */
  noteOutcome(entry: OwnerEntry, outcome: OwnerOutcome): void;
}

const HUNDREDTHS = 100;

export function createRequestAccount(
  context: RequestAccountContext,
  { route, service }: Pick<OwnerTask, 'route' | 'service'>,
): RequestAccount {
  const { clock, directory, retryBudget, callRoutes, callRates } = context;
  let retry: RetryRecord | undefined;
  let paid: RetryPayment | undefined;
  const payments = new Map<OwnerEntry, RetryPayment>();
  const costAt = (now: number): RetryCost => {
    const isUnknown = directory.callRatesOf(service) === undefined;
    return isUnknown && retryBudget.mayOweRepeats(now)
      ? unknownRetryCostOf(service, directory.nodesByService().keys())
      : retryCostOf(service, (name) => directory.callRatesOf(name));
  };
  return {
    get retry() {
      return retry;
    },
    open: () => {
      const now = clock.now();
      if (callRoutes.isCallRoute(route, now)) {
        callRates.noteCall(service, now);
      } else {
        retryBudget.noteRequest(service, now);
      }
    },
    payRetry: () => {
      const now = clock.now();
      const cost = costAt(now);
      const spentAt = retryBudget.lacking(cost, now);
      const rounded = [...cost].map(([name, arrivals]) => [name, roundToHundredths(arrivals)]);
      retry = { cost: Object.fromEntries(rounded), spentAt };
      paid = spentAt === undefined ? retryBudget.pay(cost, now) : undefined;
      return paid !== undefined;
    },
    dropRetry: () => {
      paid?.refund();
      paid = undefined;
    },
    noteOffer: (entry) => {
      if (paid) {
        payments.set(entry, paid);
        paid = undefined;
      }
    },
    noteOutcome: (entry, outcome) => {
      if (outcome.isCall) {
        callRoutes.note(route, clock.now());
      }
      if (outcome.kind === 'not-run' && !outcome.arrived) {
        payments.get(entry)?.refund();
      }
    },
  };
}

function roundToHundredths(value: number): number {
  return Math.round(value * HUNDREDTHS) / HUNDREDTHS;
}
