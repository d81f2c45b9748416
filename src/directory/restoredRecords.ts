/**
 * Node records that had gone from the store and reappear when the store is restored from a copy.
 * Such a node is probed before it is added again. If the record were trusted, the node would be
 * offered requests, and would hold quota parts that nobody can use, until the record went again.
 * If the node does not answer, its record is removed again.
 */
import type { StoredObject } from '../source/object-store.js';
import { mayBeLost } from '../source/storeRevision.js';
import type { OwnerRecord } from './owner-entry.js';
import type { StaggeredRepairs } from './staggeredRepairs.js';

/** Number of gone nodes that are kept: a day of restarts at the expected size of the mesh. */
const MAX_GONE = 2_000;

/** Dependencies on the directory's synchronisation. */
export interface RestoredRecordsContext {
  readonly repairs: StaggeredRepairs;
  readonly isAlive: (record: OwnerRecord) => Promise<boolean>;
  readonly remove: (name: string, revision: number) => void;
  /** Called if the node of a restored record answers. */
  readonly onAlive: (object: StoredObject<OwnerRecord>) => void;
}

export interface RestoredRecords {
  /** Called when the store has no record of the node at this revision. */
  noteAbsent(node: string, revision: number): void;
  /** Returns true and probes the node if the record may be restored; false if it can be trusted. */
  verifyIfRestored(object: StoredObject<OwnerRecord>): boolean;
  stop(): void;
}

export function createRestoredRecords(context: RestoredRecordsContext): RestoredRecords {
  const { repairs, isAlive, remove, onAlive } = context;
  /** Revision at which each node's record was gone, in the order of insertion. */
  const goneRevisions = new Map<string, number>();

  const noteAbsent = (node: string, revision: number): void => {
    repairs.cancel(node);
    goneRevisions.delete(node);
    goneRevisions.set(node, revision);
    const [oldest] = goneRevisions.keys();
    if (goneRevisions.size > MAX_GONE && oldest !== undefined) {
      goneRevisions.delete(oldest);
    }
  };

  const verify = async (object: StoredObject<OwnerRecord>): Promise<void> => {
    const { name, revision, spec } = object;
    if (await isAlive(spec)) {
      goneRevisions.delete(name);
      onAlive(object);
      return;
    }
    // A node that runs but is unreachable from here writes its record again; that one is trusted.
    goneRevisions.set(name, revision);
    repairs.schedule(name, () => remove(name, revision));
  };

  return {
    noteAbsent,
    verifyIfRestored: (object) => {
      const goneRevision = goneRevisions.get(object.name);
      if (goneRevision !== undefined && mayBeLost(goneRevision, object.revision)) {
        void verify(object);
        return true;
      }
      goneRevisions.delete(object.name);
      return false;
    },
    stop: repairs.stop,
  };
}
