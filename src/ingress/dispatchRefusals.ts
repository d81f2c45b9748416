/** What a client is told when its request is brought to no owner, or no further. */
import type { OwnerCriteria, OwnerDirectory } from '../directory/owner-directory.js';
import type { Clock } from '../model/clock.js';
import type { OwnerNotRun } from '../owner/owner.js';
import type { CrashTracker, RequestKey } from '../quarantine/crashTracker.js';
import type { ClientRefusal } from './client-answer.js';
import type { RetryAfterPacer } from './retryAfterPacer.js';

/** Told when an obstacle other than a lack of room was met, in milliseconds. */
const MIN_RETRY_AFTER_MS = 20;

/** Told when no owner of the service is known to be ready, in milliseconds. */
const NO_OWNER_RETRY_AFTER_MS = 250;

/** What the refusals are made from. */
export interface DispatchRefusalsContext {
  readonly clock: Clock;
  readonly directory: OwnerDirectory;
  readonly retryAfterPacer: RetryAfterPacer;
  readonly crashTracker: CrashTracker;
  readonly service: string;
  readonly key: RequestKey;
  readonly mayServe: OwnerCriteria['mayServe'];
}

/** What has become of the request so far. */
export interface RequestProgress {
  /** True once a back end may have run it. */
  readonly mayHaveRun: boolean;
  /** The newest word of an owner that did not run it. */
  readonly lastNotRun: OwnerNotRun | undefined;
}

export interface DispatchRefusals {
  /** No owner is left to ask: the request has not run unless an earlier offer may have. */
  noOwner(fate: RequestProgress): ClientRefusal;
  /** The owners that were asked are full: clients come back at the pace of what is served. */
  ownersBusy(fate: RequestProgress): ClientRefusal;
  /** It is not offered again. */
  giveUp(code: ClientRefusal['code'], fate: RequestProgress): ClientRefusal;
}

export function createDispatchRefusals(context: DispatchRefusalsContext): DispatchRefusals {
  const { clock, directory, retryAfterPacer, crashTracker, service, key, mayServe } = context;

  /** Milliseconds until some owner may be asked again; infinite when none is up. */
  const restMs = (): number => directory.backoffMs(service, clock.now());

  /** True when owners of the service are up, and placement policies allow none of them. */
  const isDenied = (): boolean => {
    const owners = directory.ownersOf(service);
    const isUp = owners.some((entry) => !entry.absenceReason);
    return mayServe !== undefined && isUp && !owners.some((entry) => mayServe(entry.record));
  };

  const ownersBusy = ({ lastNotRun }: RequestProgress): ClientRefusal => {
    const rest = restMs();
    const waitMs =
      lastNotRun?.retryAfterMs ?? (Number.isFinite(rest) ? rest : NO_OWNER_RETRY_AFTER_MS);
    const retryAfterMs = retryAfterPacer.nextRetryAfterMs(service, waitMs, clock.now());
    return { code: 'busy', status: 503, retryAfterMs };
  };

  const giveUp = (
    code: ClientRefusal['code'],
    { mayHaveRun, lastNotRun }: RequestProgress,
  ): ClientRefusal => {
    if (mayHaveRun) {
      return { code, status: code === 'deadline' ? 504 : 502 };
    }
    const retryAfterMs =
      code === 'quarantined'
        ? crashTracker.quarantineLeftMs(key, clock.now())
        : lastNotRun?.retryAfterMs;
    return { code, status: 503, retryAfterMs: retryAfterMs ?? MIN_RETRY_AFTER_MS };
  };

  return {
    noOwner: (fate) => {
      if (fate.mayHaveRun) {
        return giveUp('no-owner', fate);
      }
      if (isDenied()) {
        return { code: 'placement-denied', status: 503, retryAfterMs: NO_OWNER_RETRY_AFTER_MS };
      }
      const isBusy = fate.lastNotRun?.reason === 'busy';
      return isBusy || Number.isFinite(restMs())
        ? ownersBusy(fate)
        : { code: 'no-owner', status: 503, retryAfterMs: NO_OWNER_RETRY_AFTER_MS };
    },
    ownersBusy,
    giveUp,
  };
}
