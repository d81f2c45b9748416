/** Chooses the owner that a request is offered to next, and decides whether it may wait there. */

import { type CrossZoneBudget, LARGE_BODY_BYTES } from '../directory/crossZoneBudget.js';
import type { OwnerCriteria, OwnerDirectory } from '../directory/owner-directory.js';
import type { OwnerEntry, OwnerRecord } from '../directory/owner-entry.js';
import type { OwnerTask } from '../owner/owner.js';
import type { VersionSelection } from '../rollout/versionSelector.js';

/**
 * Number of busy owners in this node's zone after which owners in other zones are preferred. If a
 * dozen owners of the zone are all full, each of them would reject the request, while other zones
 * may have free slots.
 */
const MAX_BUSY_IN_ZONE = 2;

/** Larger bodies and bodies of unknown size count as this size, in bytes, in the choice. */
const MAX_COUNTED_BODY_BYTES = 1024 * 1024;

/** The request and the dependencies on the node. */
export interface OwnerChoiceContext {
  readonly directory: OwnerDirectory;
  readonly crossZoneBudget: CrossZoneBudget;
  readonly task: Pick<OwnerTask, 'service' | 'priority' | 'fingerprint'>;
  /** Size of the request's body; infinite if it is unknown. */
  readonly bodyBytes: number;
  /** Undefined if no placement policies apply. */
  readonly mayServe: ((record: OwnerRecord) => boolean) | undefined;
  /** The versions of the service that the request may be offered to during a roll-out. */
  readonly share: VersionSelection;
}

/** The state of a request so far. */
export interface ChoiceState {
  readonly tried: ReadonlySet<OwnerEntry>;
  /** Number of owners in this node's zone that rejected the request because they were busy. */
  readonly busyInZone: number;
  /**
   * True if the request is suspected of crashing back ends: it must run alone, and every node must
   * offer it to the same owner.
   */
  readonly isSuspect: boolean;
  /** Steady time in milliseconds. */
  readonly now: number;
}

export interface OwnerChoice {
  /** True if the body is large; see {@link LARGE_BODY_BYTES}. */
  readonly isLarge: boolean;
  /** Undefined if no owner is left to ask. */
  next(state: ChoiceState): OwnerEntry | undefined;
  /**
   * False in another zone while this node's zone has owners: only free slots are used there. Also
   * false at a back end that has named a limit while another owner may have room.
   */
  mayWaitAt(entry: OwnerEntry, state: ChoiceState): boolean;
}

export function createOwnerChoice(context: OwnerChoiceContext): OwnerChoice {
  const { directory, crossZoneBudget, task, bodyBytes, share: versionSelection } = context;
  const { service, priority, fingerprint } = task;
  const isLarge = bodyBytes >= LARGE_BODY_BYTES;

  const isAllowedByPolicies = (record: OwnerRecord) => context.mayServe?.(record) ?? true;
  const fallbackCheck = (): OwnerCriteria['mayServe'] => {
    const { fallback } = versionSelection;
    return fallback
      ? (record) => fallback(record.node) && isAllowedByPolicies(record)
      : context.mayServe;
  };
  /** A request with a large body prefers only owners in this node's zone. */
  const preferredCheck = (): OwnerCriteria['mayServe'] => {
    const { preferred } = versionSelection;
    return (
      preferred &&
      ((record) =>
        preferred(record.node) &&
        (!isLarge || directory.isInOwnZone({ record })) &&
        isAllowedByPolicies(record))
    );
  };

  const bestOwner = (
    { tried, busyInZone, now }: ChoiceState,
    check: OwnerCriteria['mayServe'],
  ): OwnerEntry | undefined => {
    const prefersOtherZones = !isLarge && busyInZone >= MAX_BUSY_IN_ZONE;
    const countedBytes = Math.min(bodyBytes, MAX_COUNTED_BODY_BYTES);
    const criteria = {
      service,
      priority,
      prefersOwnZone: isLarge,
      prefersOtherZones,
      bodyBytes: countedBytes,
      mayServe: check,
    };
    const entry = directory.choose(criteria, tried, now);
    const leavesZone = entry !== undefined && !directory.isInOwnZone(entry);
    if (leavesZone && isLarge && directory.hasOwnerInOwnZone(criteria)) {
      return crossZoneBudget.tryWithdraw() ? entry : undefined;
    }
    return entry;
  };

  return {
    isLarge,
    next: (state) => {
      if (!state.isSuspect) {
        const firstCheck = preferredCheck();
        return (firstCheck && bestOwner(state, firstCheck)) ?? bestOwner(state, fallbackCheck());
      }
      const soleOwner = directory.ownerForRole({ service, mayServe: fallbackCheck() }, fingerprint);
      return soleOwner && !state.tried.has(soleOwner) ? soleOwner : undefined;
    },
    mayWaitAt: (entry, { tried, now }) => {
      const mayServe = fallbackCheck();
      if (entry.isLimited) {
        const criteria = { service, priority, prefersOwnZone: isLarge, mayServe };
        const other = directory.choose(criteria, new Set(tried).add(entry), now);
        if (other && !other.isLimitReached(now)) {
          return false;
        }
      }
      return directory.isInOwnZone(entry) || !directory.hasOwnerInOwnZone({ service, mayServe });
    },
  };
}
