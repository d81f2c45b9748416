/** This node's own record in the store: written once, and again whenever the store holds another one. */
import { setTimeout as delay } from 'node:timers/promises';
import type { ObjectStore, StoredObject } from '../source/object-store.js';
import type { OwnerRecord } from './owner-entry.js';

/** Pause before the own record is written again after a failure, in milliseconds, give or take a half. */
const PUBLISH_RETRY_MS = 400;

/** What is needed of the node. */
export interface OwnRecordContext {
  readonly store: ObjectStore;
  /** Kind of the records. */
  readonly kind: string;
  readonly own: () => OwnerRecord;
  /** True while other nodes go by whether this one has left: it costs a write more at a planned stop. */
  readonly marksDeparture: () => boolean;
  /** Reads anew what the store holds. */
  readonly refresh: () => Promise<unknown>;
}

/** One per node; kept by the directory's synchronisation. */
export interface OwnRecord {
  /** Writes the record until the store holds it as it is, unless that is under way already. */
  publish(): Promise<void>;
  /** The store holds this in its place. */
  noteStored(object: StoredObject<OwnerRecord>): void;
  /** The store holds none. */
  noteMissing(): void;
  /** Ends writing. A node that is `leaving` for good removes its record, and says so in it first where others go by that. */
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

  /** False if it has to be tried again. */
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
      // An earlier write of this node may have been carried out late: read what is there.
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
        // A record that is only gone may be that of a node which is cut off, and goes on.
        const spec: OwnerRecord = { ...record, hasLeft: true };
        const marked = await store.replace(kind, { name: record.node, revision, spec });
        revision = marked.ok ? marked.value.revision : revision;
      }
      await store.remove(kind, record.node, revision);
    },
  };
}
