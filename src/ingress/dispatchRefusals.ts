/** Makes the refusals of requests that cannot be offered to an owner, or to no further one. */
import type { OwnerCriteria, OwnerDirectory } from '../directory/owner-directory.js';
import type { Clock } from '../model/clock.js';
import type { NotRunReason, OwnerNotRun } from '../owner/owner.js';
import type { CrashTracker, RequestKey } from '../quarantine/crashTracker.js';
import type { ClientRefusal } from './client-answer.js';
import type { RetryAfterPacer } from './retryAfterPacer.js';

/**
 * Milliseconds after which a client may retry, for refusals other than busy or quarantined, if the
 * newest rejection gave no time.
 */
const DEFAULT_RETRY_AFTER_MS = 20;

/** Milliseconds after which a client may retry if no owner may be offered the request. */
const NO_OWNER_RETRY_AFTER_MS = 250;

/** The request and the dependencies on the node. */
export interface DispatchRefusalsContext {
  readonly clock: Clock;
  readonly directory: OwnerDirectory;
  readonly retryAfterPacer: RetryAfterPacer;
  readonly crashTracker: CrashTracker;
  readonly service: string;
  readonly key: RequestKey;
  readonly mayServe: OwnerCriteria['mayServe'];
}

/** The state of a request so far. */
export interface RequestProgress {
  /** True if a back end may have run the request. */
  readonly mayHaveRun: boolean;
  /** The newest outcome of an offer that certainly did not run the request. */
  readonly lastNotRun: OwnerNotRun | undefined;
}

export interface DispatchRefusals {
  /** The refusal if no owner is left to ask. 503 unless a back end may have run the request. */
  noOwner(progress: RequestProgress): ClientRefusal;
  /**
   * The refusal if the owners had no room, because of slots or limits. Its retry time comes from
   * the {@link RetryAfterPacer}.
   */
  ownersFull(progress: RequestProgress): ClientRefusal;
  /** The refusal for any other reason. */
  giveUp(code: ClientRefusal['code'], progress: RequestProgress): ClientRefusal;
}

export function createDispatchRefusals(context: DispatchRefusalsContext): DispatchRefusals {
  const { clock, directory, retryAfterPacer, crashTracker, service, key, mayServe } = context;

  /** Milliseconds until some owner may be asked again; infinite if none is up. */
  const ownerBackoffMs = (): number => directory.backoffMs(service, clock.now());

  /** True if owners of the service are up and the placement policies allow none of its owners. */
  const isDenied = (): boolean => {
    const owners = directory.ownersOf(service);
    const isUp = owners.some((entry) => !entry.absenceReason);
    return mayServe !== undefined && isUp && !owners.some((entry) => mayServe(entry.record));
  };

  /** True if the last owner rejected the request for its back end's limit, or if all would. */
  const isLimited = ({ lastNotRun }: RequestProgress): boolean =>
    lastNotRun ? lastNotRun.reason === 'limited' : directory.areLimited(service, clock.now());

  const ownersFull = (progress: RequestProgress): ClientRefusal => {
    const { lastNotRun } = progress;
    const backoffMs = ownerBackoffMs();
    const waitMs =
      lastNotRun?.retryAfterMs ??
      (Number.isFinite(backoffMs) ? backoffMs : NO_OWNER_RETRY_AFTER_MS);
    const retryAfterMs = retryAfterPacer.nextRetryAfterMs(service, waitMs, clock.now());
    return { code: isLimited(progress) ? 'limited' : 'busy', status: 503, retryAfterMs };
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
    return { code, status: 503, retryAfterMs: retryAfterMs ?? DEFAULT_RETRY_AFTER_MS };
  };

  return {
    noOwner: (progress) => {
      if (progress.mayHaveRun) {
        return giveUp('no-owner', progress);
      }
      if (isDenied()) {
        return { code: 'placement-denied', status: 503, retryAfterMs: NO_OWNER_RETRY_AFTER_MS };
      }
      return isFullReason(progress.lastNotRun?.reason) || Number.isFinite(ownerBackoffMs())
        ? ownersFull(progress)
        : { code: 'no-owner', status: 503, retryAfterMs: NO_OWNER_RETRY_AFTER_MS };
    },
    ownersFull,
    giveUp,
  };
}

/** True if an owner had no room, because of its slots or of its back end's limit. */
export function isFullReason(reason: NotRunReason | undefined): boolean {
  return reason === 'busy' || reason === 'limited';
}
