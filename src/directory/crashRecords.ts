/**
 * This node's copy of the crash records in the store. An operator removes a record to lift a
 * quarantine. When the store is restored from a copy, a record that the copy lacks is written
 * again, and a record that was removed but is in the copy is removed again.
 */

import { createRecentNames } from '../model/recentNames.js';
import {
  type CollectionHandler,
  CollectionWatcher,
  type WatchTiming,
} from '../source/collection-watcher.js';
import type { ObjectStore, StoredObject } from '../source/object-store.js';
import { mayBeLost } from '../source/storeRevision.js';
import { CRASH_KIND, type CrashRecord, isCrashRecord } from './crashRecord.js';
import type { StaggeredRepairs } from './staggeredRepairs.js';

/** Mean delay in milliseconds before a failed write is retried; it varies by up to a half. */
const WRITE_RETRY_MS = 1_000;

/** Number of removed records whose names are kept, to remove them again if they are restored. */
const MAX_REMOVED = 1_000;

/** Dependencies on the rest of the node. */
export interface CrashRecordsContext {
  readonly store: ObjectStore;
  readonly repairs: StaggeredRepairs;
  readonly timing: WatchTiming;
  /** False once the record has no effect any more; it is not written then. */
  readonly isRelevant: (record: CrashRecord) => boolean;
  readonly onRecord: (record: CrashRecord) => void;
  readonly onRemoved: (record: CrashRecord) => void;
  readonly onConnected: CollectionHandler<unknown>['onConnected'];
  /** Called for a record that does not match the schema. */
  readonly onUnreadable: (name: string) => void;
}

export interface CrashRecords {
  /** The records in the store, as last read, with their names. */
  all(): readonly (readonly [name: string, record: CrashRecord])[];
  /** Retries until the store holds a record of that name or the record is no longer relevant. */
  write(name: string, record: CrashRecord): Promise<void>;
  remove(name: string): void;
  start(): void;
  stop(): void;
}

export function createCrashRecords(context: CrashRecordsContext): CrashRecords {
  const { store, repairs, timing, isRelevant, onRecord, onRemoved, onConnected, onUnreadable } =
    context;
  const stored = new Map<string, StoredObject<CrashRecord>>();
  /** Each name belongs to one incarnation, so no name is used twice. */
  const removedNames = createRecentNames(MAX_REMOVED);
  let isStopped = false;

  const write = async (name: string, record: CrashRecord): Promise<void> => {
    while (!isStopped && isRelevant(record)) {
      const result = await store.create<CrashRecord>(CRASH_KIND, name, record);
      if (result.ok || result.failure === 'conflict') {
        return;
      }
      await pause(WRITE_RETRY_MS * (0.5 + Math.random()));
    }
  };

  const removeAt = (name: string, revision: number): void => {
    void store.remove(CRASH_KIND, name, revision);
  };

  /** Handles a record that the store held at `seenRevision` and no longer holds at `revision`. */
  const handleAbsence = (name: string, seenRevision: number, revision: number): void => {
    const object = stored.get(name);
    if (object && mayBeLost(seenRevision, revision)) {
      // Treating the loss as a removal by an operator would let the request crash more back ends.
      repairs.schedule(name, () => void write(name, object.spec));
      return;
    }
    repairs.cancel(name);
    removedNames.add(name);
    stored.delete(name);
    if (object) {
      onRemoved(object.spec);
    }
  };

  const handleObject = ({ name, revision, spec }: StoredObject<unknown>): void => {
    repairs.cancel(name);
    if (removedNames.has(name)) {
      repairs.schedule(name, () => removeAt(name, revision));
      return;
    }
    if (!isCrashRecord(spec)) {
      onUnreadable(name);
      return;
    }
    const isNew = !stored.has(name);
    stored.set(name, { name, revision, spec });
    if (isNew) {
      onRecord(spec);
    }
  };

  const watcher = new CollectionWatcher<CrashRecord>(
    store,
    CRASH_KIND,
    {
      onList: (objects, revision) => {
        const present = new Set(objects.map(({ name }) => name));
        for (const object of [...stored.values()]) {
          if (!present.has(object.name)) {
            handleAbsence(object.name, object.revision, revision);
          }
        }
        objects.forEach(handleObject);
      },
      onChange: (object, isRemoved, revision) => {
        if (isRemoved) {
          handleAbsence(object.name, object.revision, revision);
        } else {
          handleObject(object);
        }
      },
      onConnected,
    },
    timing,
  );

  return {
    all: () => [...stored].map(([name, { spec }]) => [name, spec] as const),
    write,
    remove: (name) => {
      const object = stored.get(name);
      if (object) {
        removeAt(name, object.revision);
      }
    },
    start: () => void watcher.run(),
    stop: () => {
      isStopped = true;
      repairs.stop();
      watcher.stop();
    },
  };
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
