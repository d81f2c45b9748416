/** This node's part in its zone, from the directory. */
import type { OwnerDirectory } from '../directory/owner-directory.js';
import type { OwnerEntry, OwnerRecord } from '../directory/owner-entry.js';
import type { Clock } from '../model/clock.js';
import { assignZoneRole, type ZoneAssignment } from '../relay/zoneReaders.js';

/**
 * The part is worked out again after this time, in milliseconds, or when the directory has changed:
 * ranking a zone for each call to a reader would make the work of all nodes grow with its square.
 */
const PART_LIFETIME_MS = 500;

/** What is needed of the node. */
export interface ZoneAssignmentContext {
  readonly clock: Clock;
  readonly directory: OwnerDirectory;
  readonly own: () => OwnerRecord;
}

/** Tells this node's part in reading the store for its zone. */
export function createZoneAssignment(context: ZoneAssignmentContext): () => ZoneAssignment {
  const { clock, directory, own } = context;
  let part: ZoneAssignment | undefined;
  let until = 0;
  let generation = -1;
  const isAway = ({ absenceReason }: OwnerEntry) =>
    absenceReason === 'silent' || absenceReason === 'stopping';
  return () => {
    const now = clock.now();
    if (!part || now >= until || generation !== directory.generation) {
      const nodes = directory
        .all()
        .filter((entry) => entry.isLocal || !isAway(entry))
        .map(({ record }) => record);
      part = assignZoneRole(own(), nodes);
      until = now + PART_LIFETIME_MS;
      generation = directory.generation;
    }
    return part;
  };
}
