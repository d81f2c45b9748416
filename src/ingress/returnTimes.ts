/**
 * When refused clients are told to come back. All that an ingress refuses for want of room would
 * come back at the same moment and be refused again; so they are put in a line: each is told a time at
 * which one more request is likely to be served, at the pace at which this ingress has seen its
 * requests served. Whoever comes back as told goes before new requests of the same priority; whoever
 * comes earlier keeps the place that it had, so that repeating at once neither helps nor holds up those
 * that wait.
 */
import type { RequestKey } from '../quarantine/crashLedger.js';
import { createSlidingCount, type SlidingCount } from './slidingCount.js';

/** The pace is taken from so many milliseconds. */
const PACE_WINDOW_MS = 1_000;

/** Bounds of what a client is told, in milliseconds. */
const MIN_RETURN_MS = 20;
const MAX_RETURN_MS = 1_000;

/** Clients wait as they are told for this part of the time that they have left, and no longer. */
const HEEDED_SHARE = 1 / 3;

/** A client that is this early, in milliseconds, is in time: its clock and ours need not agree. */
const EARLY_MS = 10;

/** A place is kept for so long after its time, in milliseconds: clients are not exact. */
const LATE_MS = 1_000;

/** Places that are remembered at once; beyond them, the oldest are forgotten. */
const MAX_PLACES = 4_096;

interface Line {
  readonly served: SlidingCount;
  /** Steady time in milliseconds of the last return that was told. */
  lastReturnAt: number;
}

/** Kept for each service by the ingress; `now` is a steady time in milliseconds. */
export interface ReturnTimes {
  /** A request has its answer from a back end. */
  noteServed(service: string, now: number): void;
  /** Milliseconds after which a client is to come back. */
  next(refused: RefusedRequest, now: number): number;
  /** What is known of a request that was refused before; undefined for others. */
  visitOf(key: RequestKey, now: number): EarlierVisit | undefined;
}

/** A request that was refused before. */
export interface EarlierVisit {
  /** Steady time in milliseconds at which it first came. */
  readonly firstAt: number;
  /** True if it comes back no earlier than it was told. */
  readonly isAsTold: boolean;
}

/** A request that finds no room. */
export interface RefusedRequest {
  readonly service: string;
  /** Tells requests that are the same. */
  readonly key: RequestKey;
  /** Milliseconds until there may be room at all. */
  readonly waitMs: number;
  /** Milliseconds for which its client would go on waiting for an answer. */
  readonly leftMs: number;
  /** Steady time in milliseconds at which it came. */
  readonly startedAt: number;
}

interface Place {
  /** Steady times in milliseconds. */
  readonly returnAt: number;
  readonly firstAt: number;
}

export function createReturnTimes(): ReturnTimes {
  const lines = new Map<string, Line>();
  const lineOf = (service: string): Line => {
    const known = lines.get(service);
    if (known) {
      return known;
    }
    const created = {
      served: createSlidingCount(PACE_WINDOW_MS),
      lastReturnAt: Number.NEGATIVE_INFINITY,
    };
    lines.set(service, created);
    return created;
  };
  /** In the order of telling. */
  const places = new Map<string, Place>();
  const placeOf = (key: RequestKey, now: number): Place | undefined => {
    const place = places.get(nameOf(key));
    return place && now <= place.returnAt + LATE_MS ? place : undefined;
  };
  const keepPlace = (key: RequestKey, place: Place): void => {
    const name = nameOf(key);
    places.delete(name);
    places.set(name, place);
    const [oldest] = places.keys();
    if (oldest !== undefined && places.size > MAX_PLACES) {
      places.delete(oldest);
    }
  };

  const nextPlace = (service: string, waitMs: number, now: number): number => {
    const line = lineOf(service);
    const served = line.served.atMost(now);
    // Before anything has been served, the pace is not known.
    const gapMs = served > 0 ? PACE_WINDOW_MS / served : 0;
    const returnAt = Math.max(line.lastReturnAt + gapMs, now + Math.max(MIN_RETURN_MS, waitMs));
    line.lastReturnAt = Math.min(returnAt, now + MAX_RETURN_MS);
    return line.lastReturnAt;
  };

  return {
    noteServed: (service, now) => lineOf(service).served.add(now),
    next: ({ service, key, waitMs, leftMs, startedAt }, now) => {
      const known = placeOf(key, now);
      if (known && startedAt < known.returnAt - EARLY_MS) {
        return Math.max(MIN_RETURN_MS, known.returnAt - now);
      }
      const heededAt = now + Math.max(MIN_RETURN_MS, leftMs * HEEDED_SHARE);
      const returnAt = Math.min(nextPlace(service, waitMs, now), heededAt);
      keepPlace(key, { returnAt, firstAt: known?.firstAt ?? startedAt });
      return returnAt - now;
    },
    visitOf: (key, now) => {
      const place = placeOf(key, now);
      return place && { firstAt: place.firstAt, isAsTold: now >= place.returnAt - EARLY_MS };
    },
  };
}

function nameOf({ fingerprint, caller }: RequestKey): string {
  return `${fingerprint} ${caller}`;
}
