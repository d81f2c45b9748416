/**
 * Caches objects read from the store for other nodes of the zone. Of each object, only the last
 * change is sent: a node that asks from an earlier revision needs the present state, not each step.
 */
import type { Clock } from '../model/clock.js';
import { createWaiters, type Waiters } from '../model/waiters.js';
import {
  ReadConsistency,
  type StoreChanges,
  type StoredObject,
  type StoreEvent,
  type StoreListing,
  type StoreQuery,
  type StoreResult,
} from '../source/object-store.js';
import { eraOf } from '../source/storeRevision.js';
import { shareStructure } from './sharedStructure.js';
import type { StoreReachability } from './storeReachability.js';

/**
 * Earlier versions kept for each kind: a follower that holds one is sent only the difference. At 5
 * changes a second, they cover 6 s. They share equal parts: one of 1,600 routes adds about 15 KB.
 */
const MAX_EARLIER_VERSIONS = 32;

/** Removed objects kept for each kind; a read from before the oldest has to list the kind again. */
const MAX_REMOVED = 1_024;

export interface StoreCacheContext {
  readonly clock: Clock;
  readonly reach: Pick<StoreReachability, 'answeredAt'>;
  /** The newest era that the store has reported. */
  readonly era: () => number;
  /** Milliseconds after the store's last answer for which the cache may answer in its place. */
  readonly freshMs: number;
}

/** Answers other nodes in place of the store, while the store answers this node. */
export interface StoreCache {
  /** Steady time in milliseconds at which another node last asked; minus infinity if none did. */
  readonly lastReadAt: number;
  /** True while the store's last answer to this node is at most `freshMs` old. */
  readonly isFresh: boolean;
  /** Caches a list and returns it, sharing its structure with the cached objects. */
  noteList<Spec>(
    kind: string,
    listing: StoreListing<Spec>,
    consistency?: ReadConsistency,
  ): StoreListing<Spec>;
  /** Caches changes and returns them, sharing their structure with the cached objects. */
  noteChanges<Spec>(kind: string, from: number, changes: StoreChanges<Spec>): StoreChanges<Spec>;
  /**
   * Caches the present version of the only object of a kind, and returns it with shared structure.
   * If the kind has several objects, nothing is cached, since the others may have changed as well.
   */
  noteObject<Spec>(kind: string, object: StoredObject<Spec>): StoredObject<Spec>;
  /**
   * Marks a kind as possibly outdated: the store no longer has the changes since this node's
   * revision, or has returned an older list than the cached one. The cache does not answer for the
   * kind until it accepts another list or change.
   */
  markStale(kind: string): void;
  /** Newest revision up to which the cache has all changes of a kind. */
  revisionOf(kind: string): number | undefined;
  /** Revision of the object of a kind that has only one. */
  singleObjectRevision(kind: string): number | undefined;
  /** The present or an earlier version of an object by its revision, if it is still cached. */
  objectAt(kind: string, revision: number): StoredObject<unknown> | undefined;
  /** Answers a query; `unavailable` unless fresh and current, `history-gone` if it is too old. */
  read(query: StoreQuery): Promise<StoreResult<StoreChanges<unknown>>>;
}

interface LastChange {
  readonly event: StoreEvent<unknown>;
  /** The store's revision at receipt, or the object's own (first list, `get`); never below it. */
  readonly notedAt: number;
}

interface CachedKind {
  /** In the order in which this node received them. */
  readonly changes: Map<string, LastChange>;
  /** Replaced versions, oldest first. */
  readonly earlier: StoredObject<unknown>[];
  /** Every change after this revision is in `changes`. */
  completeSince: number;
  revision: number;
  removedCount: number;
  isStale: boolean;
  /** False while the only source is a stale list, perhaps from before a restore from a copy. */
  isConfirmed: boolean;
  /** Reads that wait for the next change. */
  readonly waiters: Waiters;
}

export function createStoreCache(context: StoreCacheContext): StoreCache {
  const { clock, reach, era, freshMs } = context;
  const kinds = new Map<string, CachedKind>();
  let lastReadAt = Number.NEGATIVE_INFINITY;

  const freshLeftMs = () => reach.answeredAt + freshMs - clock.now();
  /** False while the kind is stale, or this node or the asking node has seen a later era. */
  const isCurrent = ({ isStale, revision }: CachedKind, { revision: from = 0 }: StoreQuery) =>
    !isStale && eraOf(revision) >= Math.max(era(), eraOf(from));
  const answerOf = (cached: CachedKind, query: StoreQuery) => {
    const { revision } = query;
    if (revision !== undefined && revision < cached.completeSince) {
      return failed('history-gone');
    }
    const events = [...cached.changes.values()]
      .filter(({ event, notedAt }) => (revision === undefined ? !event.gone : notedAt > revision))
      .map(({ event }) => event);
    return { ok: true, value: { events, revision: cached.revision } } as const;
  };

  return {
    get lastReadAt() {
      return lastReadAt;
    },
    get isFresh() {
      return freshLeftMs() > 0;
    },
    noteList: (kind, listing, consistency = ReadConsistency.Strong) => {
      const cached = kinds.get(kind);
      const isStrong = consistency === ReadConsistency.Strong;
      if (!cached || (isStrong && !cached.isConfirmed && listing.revision < cached.revision)) {
        kinds.set(kind, createKind(listing, isStrong));
        cached?.waiters.wakeAll();
        return listing;
      }
      cached.isConfirmed ||= isStrong;
      const items = listing.items.map((object) => shareWithCached(cached, object));
      if (listing.revision > cached.revision) {
        applyListing(cached, items, listing.revision);
      }
      if (listing.revision >= cached.revision) {
        cached.isStale = false;
        cached.waiters.wakeAll();
      }
      return { ...listing, items };
    },
    noteChanges: (kind, from, changes) => {
      const cached = kinds.get(kind);
      if (!cached || from > cached.revision) {
        return changes;
      }
      const { revision } = changes;
      const events = changes.events.map((event) => {
        const shared = { ...event, object: shareWithCached(cached, event.object) };
        recordChange(cached, shared, revision);
        return shared;
      });
      const wasStale = cached.isStale;
      cached.isStale = false;
      cached.isConfirmed = true;
      cached.revision = Math.max(cached.revision, revision);
      evictRemoved(cached);
      if (events.length > 0 || wasStale) {
        cached.waiters.wakeAll();
      }
      return { events, revision };
    },
    noteObject: (kind, object) => {
      const cached = kinds.get(kind);
      if (!cached || singleObject(cached)?.name !== object.name) {
        return object;
      }
      const shared = shareWithCached(cached, object);
      if (object.revision > cached.revision) {
        recordChange(cached, { object: shared, gone: false }, object.revision);
        cached.revision = object.revision;
        cached.waiters.wakeAll();
      }
      return shared;
    },
    markStale: (kind) => {
      const cached = kinds.get(kind);
      if (cached) {
        cached.isStale = true;
      }
    },
    revisionOf: (kind) => kinds.get(kind)?.revision,
    singleObjectRevision: (kind) => {
      const cached = kinds.get(kind);
      return cached && singleObject(cached)?.revision;
    },
    objectAt: (kind, revision) => {
      const cached = kinds.get(kind);
      const hasRevision = (object: StoredObject<unknown>) => object.revision === revision;
      const present = [...(cached?.changes.values() ?? [])].map(({ event }) => event.object);
      return cached?.earlier.findLast(hasRevision) ?? present.find(hasRevision);
    },
    read: async (query) => {
      lastReadAt = clock.now();
      const until = lastReadAt + query.waitMs;
      for (;;) {
        const cached = kinds.get(query.kind);
        if (!cached || freshLeftMs() <= 0) {
          return failed('unavailable');
        }
        const answer = isCurrent(cached, query) ? answerOf(cached, query) : NOT_CURRENT;
        const isFinal = answer !== NOT_CURRENT && (!answer.ok || answer.value.events.length > 0);
        const leftMs = until - clock.now();
        if (isFinal || query.revision === undefined || leftMs <= 0) {
          return answer;
        }
        await cached.waiters.wait(Math.min(leftMs, freshLeftMs()));
      }
    },
  };
}

const NOT_CURRENT = failed('unavailable');

function createKind({ items, revision }: StoreListing<unknown>, isConfirmed: boolean): CachedKind {
  const changes = new Map(
    items.map((object) => [
      object.name,
      { event: { object, gone: false }, notedAt: object.revision },
    ]),
  );
  return {
    changes,
    earlier: [],
    completeSince: revision,
    revision,
    removedCount: 0,
    isStale: false,
    isConfirmed,
    waiters: createWaiters(),
  };
}

/** The object of a kind that has only one. */
function singleObject(cached: CachedKind): StoredObject<unknown> | undefined {
  const [only, ...others] = cached.changes.values();
  return only && others.length === 0 && !only.event.gone ? only.event.object : undefined;
}

function shareWithCached<Spec>(cached: CachedKind, object: StoredObject<Spec>): StoredObject<Spec> {
  const last = cached.changes.get(object.name)?.event.object.spec;
  return { ...object, spec: shareStructure(last, object.spec) };
}

/** Records the differences between a list and the cached objects as changes. */
function applyListing(
  cached: CachedKind,
  items: readonly StoredObject<unknown>[],
  revision: number,
): void {
  const present = new Set(items.map(({ name }) => name));
  for (const { event } of [...cached.changes.values()]) {
    if (!event.gone && !present.has(event.object.name)) {
      recordChange(cached, { object: event.object, gone: true }, revision);
    }
  }
  for (const object of items) {
    const last = cached.changes.get(object.name)?.event;
    if (!last || last.gone || last.object.revision !== object.revision) {
      recordChange(cached, { object, gone: false }, revision);
    }
  }
  cached.revision = revision;
  evictRemoved(cached);
}

function recordChange(cached: CachedKind, event: StoreEvent<unknown>, notedAt: number): void {
  const { name, revision } = event.object;
  const last = cached.changes.get(name);
  if (last && last.notedAt >= notedAt && last.event.object.revision > revision) {
    return;
  }
  if (last && !last.event.gone && last.event.object.revision !== revision) {
    cached.earlier.push(last.event.object);
    cached.earlier.splice(0, cached.earlier.length - MAX_EARLIER_VERSIONS);
  }
  cached.removedCount += Number(event.gone) - Number(last?.event.gone ?? false);
  // Deleted first, so that the map keeps the order of the changes.
  cached.changes.delete(name);
  cached.changes.set(name, { event, notedAt });
}

/** Evicts the oldest removed objects above the limit of {@link MAX_REMOVED}. */
function evictRemoved(cached: CachedKind): void {
  for (const [name, { event, notedAt }] of cached.changes) {
    if (cached.removedCount <= MAX_REMOVED) {
      return;
    }
    if (event.gone) {
      cached.changes.delete(name);
      cached.removedCount -= 1;
      cached.completeSince = Math.max(cached.completeSince, notedAt);
    }
  }
}

function failed(failure: 'unavailable' | 'history-gone') {
  return { ok: false, failure, detail: 'zone reader' } as const;
}
