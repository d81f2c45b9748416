/**
 * Records of nodes that come back with a copy of the store, though they had gone from it. Such a node is
 * asked before it counts again: taken at its record's word it would be offered requests, and hold parts of
 * quotas that nobody can use, until the record went again. If it does not answer, its record is removed again.
 */
import type { StoredObject } from '../source/object-store.js';
import { mayBeLost } from '../source/storeRevision.js';
import type { OwnerRecord } from './owner-entry.js';
import type { StaggeredRepairs } from './staggeredRepairs.js';

/** Nodes that are remembered after their records have gone: a day of restarts at the size to come. */
const MAX_GONE = 2_000;

/** What is needed of the directory's synchronisation. */
export interface RestoredRecordsContext {
  readonly repairs: StaggeredRepairs;
  readonly isAlive: (record: OwnerRecord) => Promise<boolean>;
  readonly remove: (name: string, revision: number) => void;
  /** The node is there. */
  readonly onAlive: (object: StoredObject<OwnerRecord>) => void;
}

export interface RestoredRecords {
  /** The store has no record of the node at this revision. */
  noteAbsent(node: string, revision: number): void;
  /** False if the record is no returned one: then it is to be taken at its word. */
  verifyIfRestored(object: StoredObject<OwnerRecord>): boolean;
  stop(): void;
}

export function createRestoredRecords(context: RestoredRecordsContext): RestoredRecords {
  const { repairs, isAlive, remove, onAlive } = context;
  /** Revision at which each was gone; the earliest first. */
  const gone = new Map<string, number>();

  const noteAbsent = (node: string, revision: number): void => {
    repairs.cancel(node);
    gone.delete(node);
    gone.set(node, revision);
    const [oldest] = gone.keys();
    if (gone.size > MAX_GONE && oldest !== undefined) {
      gone.delete(oldest);
    }
  };

  const ask = async (object: StoredObject<OwnerRecord>): Promise<void> => {
    const { name, revision, spec } = object;
    if (await isAlive(spec)) {
      gone.delete(name);
      onAlive(object);
      return;
    }
    // A node that lives, but not for this one, writes its record again: that one is taken at its word.
    gone.set(name, revision);
    repairs.schedule(name, () => remove(name, revision));
  };

  return {
    noteAbsent,
    verifyIfRestored: (object) => {
      const goneAt = gone.get(object.name);
      if (goneAt !== undefined && mayBeLost(goneAt, object.revision)) {
        void ask(object);
        return true;
      }
      gone.delete(object.name);
      return false;
    },
    stop: repairs.stop,
  };
}
