/** Computes from the directory this node's role in reading the store for its zone. */
import type { OwnerDirectory } from '../directory/owner-directory.js';
import type { OwnerEntry, OwnerRecord } from '../directory/owner-entry.js';
import type { Clock } from '../model/clock.js';
import { assignZoneRole, type ZoneAssignment } from '../relay/zoneReaders.js';

/**
 * The role is computed again after this time, in milliseconds, or when the directory has changed.
 * Ranking the nodes of a zone for each call to a reader would cost all nodes together work that
 * grows with the square of the zone's size.
 */
const ASSIGNMENT_LIFETIME_MS = 500;

/** Dependencies on the node. */
export interface ZoneAssignmentContext {
  readonly clock: Clock;
  readonly directory: OwnerDirectory;
  readonly own: () => OwnerRecord;
}

/** Returns a function that returns this node's current role in its zone. */
export function createZoneAssignment(context: ZoneAssignmentContext): () => ZoneAssignment {
  const { clock, directory, own } = context;
  let assignment: ZoneAssignment | undefined;
  let expiresAt = 0;
  let generation = -1;
  const isGone = ({ absenceReason }: OwnerEntry) =>
    absenceReason === 'silent' || absenceReason === 'stopping';
  return () => {
    const now = clock.now();
    if (!assignment || now >= expiresAt || generation !== directory.generation) {
      const nodes = directory
        .all()
        .filter((entry) => entry.isLocal || !isGone(entry))
        .map(({ record }) => record);
      assignment = assignZoneRole(own(), nodes);
      expiresAt = now + ASSIGNMENT_LIFETIME_MS;
      generation = directory.generation;
    }
    return assignment;
  };
}
