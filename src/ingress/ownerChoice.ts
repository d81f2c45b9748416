/** Which owner a request is offered to next, and whether it may wait there. */

import { type CrossZoneBudget, LARGE_BODY_BYTES } from '../directory/crossZoneBudget.js';
import type { OwnerCriteria, OwnerDirectory } from '../directory/owner-directory.js';
import type { OwnerEntry, OwnerRecord } from '../directory/owner-entry.js';
import type { OwnerTask } from '../owner/owner.js';
import type { VersionSelection } from '../rollout/versionSelector.js';

/**
 * Owners of the own zone that may be busy before the others are asked: in a zone of a dozen owners
 * that are all full, each further one says the same, while other zones may have free slots.
 */
const BUSY_NEAR_OWNERS = 2;

/** A body whose length is not known, or above this, counts as one of so many bytes. */
const LONGEST_COUNTED_BODY_BYTES = 1024 * 1024;

/** What the choice is made from. */
export interface OwnerChoiceContext {
  readonly directory: OwnerDirectory;
  readonly crossZoneBudget: CrossZoneBudget;
  readonly task: Pick<OwnerTask, 'service' | 'priority' | 'fingerprint'>;
  /** Size of the request's body; infinite when it is not known. */
  readonly bodyBytes: number;
  readonly mayServe: ((record: OwnerRecord) => boolean) | undefined;
  /** What a roll-out says of the service's versions. */
  readonly share: VersionSelection;
}

/** What has become of the request so far. */
export interface ChoiceState {
  readonly tried: ReadonlySet<OwnerEntry>;
  /** Owners of the own zone that had no room. */
  readonly busyInZone: number;
  /** True if the request is to run alone, at the same owner whichever node it came to. */
  readonly isSuspect: boolean;
  /** Steady time in milliseconds. */
  readonly now: number;
}

export interface OwnerChoice {
  readonly isLarge: boolean;
  /** Undefined when nobody is left to ask. */
  next(state: ChoiceState): OwnerEntry | undefined;
  /** While its own zone is up, a request takes only slots that are free in another one. */
  mayWaitAt(entry: OwnerEntry): boolean;
}

export function createOwnerChoice(context: OwnerChoiceContext): OwnerChoice {
  const { directory, crossZoneBudget, task, bodyBytes, share } = context;
  const { service, priority, fingerprint } = task;
  const isLarge = bodyBytes >= LARGE_BODY_BYTES;

  const isPlaced = (record: OwnerRecord) => context.mayServe?.(record) ?? true;
  const checkNow = (): OwnerCriteria['mayServe'] => {
    const { fallback } = share;
    return fallback ? (record) => fallback(record.node) && isPlaced(record) : context.mayServe;
  };
  /** A large body does not leave its zone for the sake of a version. */
  const firstCheckNow = (): OwnerCriteria['mayServe'] => {
    const { preferred } = share;
    return (
      preferred &&
      ((record) =>
        preferred(record.node) &&
        (!isLarge || directory.isInOwnZone({ record })) &&
        isPlaced(record))
    );
  };

  const best = (
    { tried, busyInZone, now }: ChoiceState,
    check: OwnerCriteria['mayServe'],
  ): OwnerEntry | undefined => {
    const prefersOtherZones = !isLarge && busyInZone >= BUSY_NEAR_OWNERS;
    const countedBytes = Math.min(bodyBytes, LONGEST_COUNTED_BODY_BYTES);
    const wish = {
      service,
      priority,
      prefersOwnZone: isLarge,
      prefersOtherZones,
      bodyBytes: countedBytes,
      mayServe: check,
    };
    const entry = directory.choose(wish, tried, now);
    const leavesZone = entry !== undefined && !directory.isInOwnZone(entry);
    if (leavesZone && isLarge && directory.hasOwnerInOwnZone(wish)) {
      return crossZoneBudget.tryWithdraw() ? entry : undefined;
    }
    return entry;
  };

  return {
    isLarge,
    next: (state) => {
      if (!state.isSuspect) {
        const first = firstCheckNow();
        return (first && best(state, first)) ?? best(state, checkNow());
      }
      const only = directory.ownerForRole({ service, mayServe: checkNow() }, fingerprint);
      return only && !state.tried.has(only) ? only : undefined;
    },
    mayWaitAt: (entry) =>
      directory.isInOwnZone(entry) ||
      !directory.hasOwnerInOwnZone({ service, mayServe: checkNow() }),
  };
}
