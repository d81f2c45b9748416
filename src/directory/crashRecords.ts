/**
 * The records of crashes in the store, as this node knows them. Operators remove one to lift a quarantine;
 * one that the store has lost, as it came back from a copy, is written again, and one that has come back
 * with the copy, though it was removed, is removed again.
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

/** Pause before a record that could not be written is written again, in milliseconds, give or take a half. */
const WRITE_RETRY_MS = 1_000;

/** Names of removed records that are remembered. */
const MAX_REMOVED = 1_000;

/** What is needed of the node. */
export interface CrashRecordsContext {
  readonly store: ObjectStore;
  readonly repairs: StaggeredRepairs;
  readonly timing: WatchTiming;
  readonly isRelevant: (record: CrashRecord) => boolean;
  readonly onRecord: (record: CrashRecord) => void;
  /** A record was removed. */
  readonly onRemoved: (record: CrashRecord) => void;
  readonly onConnected: CollectionHandler<unknown>['onConnected'];
  /** The record of this name cannot be read. */
  readonly onUnreadable: (name: string) => void;
}

export interface CrashRecords {
  /** Those that the store holds, with their names. */
  all(): readonly (readonly [name: string, record: CrashRecord])[];
  /** Writes a record until the store holds one of that name, or it is of no use any more. */
  write(name: string, record: CrashRecord): Promise<void>;
  remove(name: string): void;
  start(): void;
  stop(): void;
}

export function createCrashRecords(context: CrashRecordsContext): CrashRecords {
  const { store, repairs, timing, isRelevant, onRecord, onRemoved, onConnected, onUnreadable } =
    context;
  const stored = new Map<string, StoredObject<CrashRecord>>();
  /** Each name is that of a back end's life: none is used twice. */
  const removed = createRecentNames(MAX_REMOVED);
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

  /** The store had it at one revision, and hasn't at another. */
  const takeAbsence = (name: string, had: number, revision: number): void => {
    const object = stored.get(name);
    if (object && mayBeLost(had, revision)) {
      // Taken for an operator's word it would let the request crash more back ends.
      repairs.schedule(name, () => void write(name, object.spec));
      return;
    }
    repairs.cancel(name);
    removed.add(name);
    stored.delete(name);
    if (object) {
      onRemoved(object.spec);
    }
  };

  const takeObject = ({ name, revision, spec }: StoredObject<unknown>): void => {
    repairs.cancel(name);
    if (removed.has(name)) {
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
            takeAbsence(object.name, object.revision, revision);
          }
        }
        objects.forEach(takeObject);
      },
      onChange: (object, gone, revision) => {
        if (gone) {
          takeAbsence(object.name, object.revision, revision);
        } else {
          takeObject(object);
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
