/** What the dispatches of a node share, for tests; the time is 0. */
import { createCrossZoneBudget } from '../src/directory/crossZoneBudget.js';
import type { OwnerDirectory } from '../src/directory/owner-directory.js';
import { createCallRoutes } from '../src/ingress/callRoutes.js';
import { createOfferLimit } from '../src/ingress/offerLimit.js';
import { createRetryAfterPacer } from '../src/ingress/retryAfterPacer.js';
import { SharedRetryBudget } from '../src/ingress/shared-retry-budget.js';
import { createCallRates } from '../src/owner/callRates.js';
import { createCrashTracker } from '../src/quarantine/crashTracker.js';

export function dispatchContext(directory: OwnerDirectory, ratio: number, slack = 64) {
  const bound = { ratio, windowMs: 10_000, slack };
  return {
    clock: { now: () => 0 },
    directory,
    retryBudget: new SharedRetryBudget({ bound: () => bound, nodes: () => 1 }),
    callRoutes: createCallRoutes(),
    callRates: createCallRates(),
    crossZoneBudget: createCrossZoneBudget(),
    retryAfterPacer: createRetryAfterPacer(),
    offerLimit: createOfferLimit(),
    crashTracker: createCrashTracker(),
  };
}
