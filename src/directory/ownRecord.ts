/**
 * This node's own record in the store: written at the start, and whenever the record in the store
 * differs from it.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { ObjectStore, StoredObject } from '../source/object-store.js';
import type { OwnerRecord } from './owner-entry.js';

/** Mean delay in milliseconds before a failed write is retried; it varies by up to a half. */
const PUBLISH_RETRY_MS = 400;

/** Dependencies on the rest of the node. */
export interface OwnRecordContext {
  readonly store: ObjectStore;
  /** Kind of the records. */
  readonly kind: string;
  readonly own: () => OwnerRecord;
  /** True while other nodes need the departure mark, which costs a write more at a planned stop. */
  readonly marksDeparture: () => boolean;
  /** Reads the records from the store again. */
  readonly refresh: () => Promise<unknown>;
}

/** One per node; owned by the directory's synchronisation. */
export interface OwnRecord {
  /** Retries until the store holds the current record; does nothing if a call is in progress. */
  publish(): Promise<void>;
  /** Called with the object that the store holds under the record's name. */
  noteStored(object: StoredObject<OwnerRecord>): void;
  /** Called when the store holds no such object. */
  noteMissing(): void;
  /**
   * Stops writing. A node that is `leaving` for good removes its record, and marks it as left
   * before that if {@link OwnRecordContext.marksDeparture} is true.
   */
  stop(leaving: boolean): Promise<void>;
}

export function createOwnRecord(context: OwnRecordContext): OwnRecord {
  const { store, kind, own, marksDeparture, refresh } = context;
  let revision: number | undefined;
  let published: OwnerRecord | undefined;
  let isPublishing = false;
  let isStopped = false;

  const isPublished = () => JSON.stringify(published) === JSON.stringify(own());
  const noteMissing = () => {
    revision = undefined;
    published = undefined;
  };

  /** Returns false if the write has to be retried. */
  const write = async (): Promise<boolean> => {
    const record = own();
    const result =
      revision === undefined
        ? await store.create(kind, record.node, record)
        : await store.replace(kind, { name: record.node, revision, spec: record });
    if (result.ok) {
      revision = result.value.revision;
      published = record;
      return true;
    }
    if (result.failure === 'conflict' || result.failure === 'not-found') {
      // The store may have executed an earlier write of this node late: read the current state.
      noteMissing();
      await refresh();
    }
    return false;
  };

  return {
    publish: async () => {
      if (isPublishing || isStopped) {
        return;
      }
      isPublishing = true;
      while (!isStopped && !isPublished()) {
        if (!(await write())) {
          await delay(PUBLISH_RETRY_MS * (0.5 + Math.random()));
        }
      }
      isPublishing = false;
    },
    noteStored: (object) => {
      if (object.revision >= (revision ?? 0)) {
        revision = object.revision;
        published = object.spec;
      }
    },
    noteMissing,
    stop: async (leaving) => {
      isStopped = true;
      if (!leaving || revision === undefined) {
        return;
      }
      const record = own();
      if (marksDeparture()) {
        // Without the mark, other nodes must assume that the node is only cut off and still serves.
        const spec: OwnerRecord = { ...record, hasLeft: true };
        const marked = await store.replace(kind, { name: record.node, revision, spec });
        revision = marked.ok ? marked.value.revision : revision;
      }
      await store.remove(kind, record.node, revision);
    },
  };
}
