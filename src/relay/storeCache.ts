/**
 * What this node knows of the store, kept so that the other nodes of its zone can read it here.
 * For each object only its last change is kept: who asks from an earlier revision wants to come up
 * to date, not to see every step.
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
 * Earlier versions of objects that are kept for each kind: a follower that holds one of them is told
 * the difference. In a storm of five versions a second they reach back six seconds; they share what
 * they have in common, so that a version of 1,600 routes adds some 15 KB.
 */
const MAX_EARLIER = 32;

/** Removed objects that are remembered for each kind; an older revision has to list anew. */
const MAX_REMOVED = 1_024;

/** What is needed of the node. */
export interface StoreCacheContext {
  readonly clock: Clock;
  readonly reach: Pick<StoreReachability, 'answeredAt'>;
  /** The newest era that the store has told. */
  readonly era: () => number;
  /** Milliseconds after the store's last answer for which the cache may speak for it. */
  readonly freshMs: number;
}

/** Speaks for the store while the store answers this node itself. */
export interface StoreCache {
  /** Steady time in milliseconds at which another node last asked; minus infinity if none did. */
  readonly lastReadAt: number;
  /** True while the store itself has answered this node lately. */
  readonly isFresh: boolean;
  /** Returns the list with what it shares with what was known. */
  noteList<Spec>(
    kind: string,
    listing: StoreListing<Spec>,
    reading?: ReadConsistency,
  ): StoreListing<Spec>;
  /** Returns the changes with what they share with what was known. */
  noteChanges<Spec>(kind: string, from: number, changes: StoreChanges<Spec>): StoreChanges<Spec>;
  /**
   * Takes the only object of its kind as it is now, and returns it with what it shares with what was
   * known. Of a kind with several objects the others may have changed as well: nothing is noted.
   */
  noteObject<Spec>(kind: string, object: StoredObject<Spec>): StoredObject<Spec>;
  /**
   * What is known of a kind need not be what the store holds now: the store no longer knows the changes since,
   * or its list was older. Nothing is told of it until the next list or change that is taken.
   */
  markStale(kind: string): void;
  /** Newest revision up to which all changes of a kind are known. */
  revisionOf(kind: string): number | undefined;
  /** Revision of the object of a kind that has only one. */
  singleObjectRevision(kind: string): number | undefined;
  /** The object of this revision, present or earlier, while it is kept. */
  objectAt(kind: string, revision: number): StoredObject<unknown> | undefined;
  /** Answers another node; `unavailable` as soon as the cache is not fresh. */
  read(question: StoreQuery): Promise<StoreResult<StoreChanges<unknown>>>;
}

interface LastChange {
  readonly event: StoreEvent<unknown>;
  /** The store's revision when this node learnt of the change; never below the change's own. */
  readonly at: number;
}

interface CachedKind {
  /** In the order in which they were learnt. */
  readonly changes: Map<string, LastChange>;
  /** Versions that have been replaced, the oldest first. */
  readonly earlier: StoredObject<unknown>[];
  /** Every change after this revision is known. */
  since: number;
  revision: number;
  removed: number;
  isInDoubt: boolean;
  /** False while all that is known comes from a list that may lag, maybe of before the store came back from a copy. */
  isProven: boolean;
  /** Those who are to be told of the next change. */
  readonly waiting: Waiters;
}

export function createStoreCache(context: StoreCacheContext): StoreCache {
  const { clock, reach, era, freshMs } = context;
  const kinds = new Map<string, CachedKind>();
  let askedAt = Number.NEGATIVE_INFINITY;

  const freshLeftMs = () => reach.answeredAt + freshMs - clock.now();
  /** False while this node or the asker knows of a later era of the store. */
  const isCurrent = ({ isInDoubt, revision }: CachedKind, { revision: from = 0 }: StoreQuery) =>
    !isInDoubt && eraOf(revision) >= Math.max(era(), eraOf(from));
  const answerOf = (cached: CachedKind, question: StoreQuery) => {
    const { revision } = question;
    if (revision !== undefined && revision < cached.since) {
      return failed('history-gone');
    }
    const events = [...cached.changes.values()]
      .filter(({ event, at }) => (revision === undefined ? !event.gone : at > revision))
      .map(({ event }) => event);
    return { ok: true, value: { events, revision: cached.revision } } as const;
  };

  return {
    get lastReadAt() {
      return askedAt;
    },
    get isFresh() {
      return freshLeftMs() > 0;
    },
    noteList: (kind, listing, reading = ReadConsistency.Strong) => {
      const known = kinds.get(kind);
      const isNow = reading === ReadConsistency.Strong;
      if (!known || (isNow && !known.isProven && listing.revision < known.revision)) {
        kinds.set(kind, listed(listing, isNow));
        known?.waiting.wakeAll();
        return listing;
      }
      known.isProven ||= isNow;
      const items = listing.items.map((object) => shareWithKnown(known, object));
      if (listing.revision > known.revision) {
        bringUpToDate(known, items, listing.revision);
      }
      if (listing.revision >= known.revision) {
        known.isInDoubt = false;
        known.waiting.wakeAll();
      }
      return { ...listing, items };
    },
    noteChanges: (kind, from, changes) => {
      const known = kinds.get(kind);
      if (!known || from > known.revision) {
        return changes;
      }
      const { revision } = changes;
      const events = changes.events.map((event) => {
        const shared = { ...event, object: shareWithKnown(known, event.object) };
        noteChange(known, shared, revision);
        return shared;
      });
      const wasInDoubt = known.isInDoubt;
      known.isInDoubt = false;
      known.isProven = true;
      known.revision = Math.max(known.revision, revision);
      forgetRemoved(known);
      if (events.length > 0 || wasInDoubt) {
        known.waiting.wakeAll();
      }
      return { events, revision };
    },
    noteObject: (kind, object) => {
      const known = kinds.get(kind);
      if (!known || onlyObject(known)?.name !== object.name) {
        return object;
      }
      const shared = shareWithKnown(known, object);
      if (object.revision > known.revision) {
        noteChange(known, { object: shared, gone: false }, object.revision);
        known.revision = object.revision;
        known.waiting.wakeAll();
      }
      return shared;
    },
    markStale: (kind) => {
      const known = kinds.get(kind);
      if (known) {
        known.isInDoubt = true;
      }
    },
    revisionOf: (kind) => kinds.get(kind)?.revision,
    singleObjectRevision: (kind) => {
      const known = kinds.get(kind);
      return known && onlyObject(known)?.revision;
    },
    objectAt: (kind, revision) => {
      const known = kinds.get(kind);
      const isIt = (object: StoredObject<unknown>) => object.revision === revision;
      const present = [...(known?.changes.values() ?? [])].map(({ event }) => event.object);
      return known?.earlier.findLast(isIt) ?? present.find(isIt);
    },
    read: async (question) => {
      askedAt = clock.now();
      const until = askedAt + question.waitMs;
      for (;;) {
        const cached = kinds.get(question.kind);
        if (!cached || freshLeftMs() <= 0) {
          return failed('unavailable');
        }
        const answer = isCurrent(cached, question) ? answerOf(cached, question) : NOTHING_KNOWN;
        const hasNews = answer !== NOTHING_KNOWN && (!answer.ok || answer.value.events.length > 0);
        const leftMs = until - clock.now();
        if (hasNews || question.revision === undefined || leftMs <= 0) {
          return answer;
        }
        await cached.waiting.wait(Math.min(leftMs, freshLeftMs()));
      }
    },
  };
}

const NOTHING_KNOWN = failed('unavailable');

function listed({ items, revision }: StoreListing<unknown>, isProven: boolean): CachedKind {
  const changes = new Map(
    items.map((object) => [object.name, { event: { object, gone: false }, at: object.revision }]),
  );
  return {
    changes,
    earlier: [],
    since: revision,
    revision,
    removed: 0,
    isInDoubt: false,
    isProven,
    waiting: createWaiters(),
  };
}

/** The object of a kind that has no other. */
function onlyObject(known: CachedKind): StoredObject<unknown> | undefined {
  const [only, ...others] = known.changes.values();
  return only && others.length === 0 && !only.event.gone ? only.event.object : undefined;
}

function shareWithKnown<Spec>(known: CachedKind, object: StoredObject<Spec>): StoredObject<Spec> {
  const last = known.changes.get(object.name)?.event.object.spec;
  return { ...object, spec: shareStructure(last, object.spec) };
}

/** A list instead of the changes since: what differs from it has changed meanwhile. */
function bringUpToDate(
  known: CachedKind,
  items: readonly StoredObject<unknown>[],
  revision: number,
): void {
  const present = new Set(items.map(({ name }) => name));
  for (const { event } of [...known.changes.values()]) {
    if (!event.gone && !present.has(event.object.name)) {
      noteChange(known, { object: event.object, gone: true }, revision);
    }
  }
  for (const object of items) {
    const last = known.changes.get(object.name)?.event;
    if (!last || last.gone || last.object.revision !== object.revision) {
      noteChange(known, { object, gone: false }, revision);
    }
  }
  known.revision = revision;
  forgetRemoved(known);
}

function noteChange(cached: CachedKind, event: StoreEvent<unknown>, at: number): void {
  const { name, revision } = event.object;
  const last = cached.changes.get(name);
  if (last && last.at >= at && last.event.object.revision > revision) {
    return;
  }
  if (last && !last.event.gone && last.event.object.revision !== revision) {
    cached.earlier.push(last.event.object);
    cached.earlier.splice(0, cached.earlier.length - MAX_EARLIER);
  }
  cached.removed += Number(event.gone) - Number(last?.event.gone ?? false);
  // Put in anew, so that the order stays that of the changes.
  cached.changes.delete(name);
  cached.changes.set(name, { event, at });
}

function forgetRemoved(cached: CachedKind): void {
  for (const [name, { event, at }] of cached.changes) {
    if (cached.removed <= MAX_REMOVED) {
      return;
    }
    if (event.gone) {
      cached.changes.delete(name);
      cached.removed -= 1;
      cached.since = Math.max(cached.since, at);
    }
  }
}

function failed(failure: 'unavailable' | 'history-gone') {
  return { ok: false, failure, detail: 'zone reader' } as const;
}
