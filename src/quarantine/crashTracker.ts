/**
 * Tracks requests that crash back ends and decides how they are treated. It has no sockets or
 * timers: each call gets the present time, and returns the announcement that other nodes need.
 *
 * A request that was in flight when its back end crashed may be the cause, as may any other request
 * in flight there. After a second such crash it is a suspect and runs alone on its back end, at one
 * owner of the mesh. If a back end crashes while only this request is in flight, and an earlier
 * crash of the request was known before this run began, the request is quarantined. The earlier
 * crash is required because back ends may end together for another reason, such as the loss of a
 * whole domain, which says nothing about the requests that ran on all of them. A suspect counts as
 * alone beside requests that their callers had abandoned, if no crash of these is known: back ends
 * mostly drop such requests, and where clients leave often there is always one. If a request
 * completes, it is cleared. A request is therefore never refused only because it was in flight
 * beside the one that caused a crash.
 */

import { createCompletedRuns } from './completedRuns.js';
import { addIncarnation, crashCountOf, createCrashEntries } from './crashEntries.js';
import { distinctKeys, keyText, type RequestKey } from './requestKey.js';

export type { RequestKey } from './requestKey.js';

/** A request that was in flight when its back end crashed. */
export interface InFlightRequest extends RequestKey {
  /** True if a crash of the request was known when it began to run. */
  readonly hadPriorCrash: boolean;
  /** True if its caller had abandoned it: the back end may still have worked on it. */
  readonly isAbandoned?: boolean;
}

/** How a request is treated. */
export enum QuarantineStatus {
  Clear = 'clear',
  /** The request runs alone on its back end, at one owner of the mesh. */
  Suspect = 'suspect',
  /** The request is refused. */
  Quarantined = 'quarantined',
}

/** Announcement of one node's findings to the others. */
export interface CrashAnnouncement {
  /** Name of the incarnation that crashed; undefined if the announcement is not about a crash. */
  readonly incarnation: string | undefined;
  readonly suspects: readonly RequestKey[];
  readonly quarantined: readonly RequestKey[];
  /** Suspects that have completed. */
  readonly cleared: readonly RequestKey[];
}

/**
 * Crashes after which a request runs alone. With 1, every request in flight at a crash, up to the
 * number of slots, would have to run alone, one after the other. The users' requirements allow
 * three crashes.
 */
export const SUSPECT_CRASHES = 2;

/**
 * Milliseconds without another crash after which suspicion ends. Clients may repeat a request
 * minutes later.
 */
const SUSPICION_MS = 600_000;

/**
 * Milliseconds after which a quarantined request runs alone once more, as its back end may have
 * been fixed. If it has not, that costs one back end for some seconds in every ten minutes.
 */
export const QUARANTINE_MS = 600_000;

/** The crash tracker of a node. `now` is monotonic, in milliseconds. */
export interface CrashTracker {
  statusOf(key: RequestKey, now: number): QuarantineStatus;
  /** Milliseconds until a quarantined request may run again. */
  quarantineLeftMs(key: RequestKey, now: number): number;
  /**
   * Records that a back end here completed the request. Returns an announcement if it was a
   * suspect.
   */
  noteCompleted(key: RequestKey, now: number): CrashAnnouncement | undefined;
  /** Records the crash of an incarnation here with all the requests that were in flight. */
  noteCrash(
    incarnation: string,
    inFlight: readonly InFlightRequest[],
    now: number,
  ): CrashAnnouncement;
  /** Applies another node's announcement; returns the requests that it newly quarantines here. */
  applyAnnouncement(announcement: CrashAnnouncement, now: number): readonly RequestKey[];
  /** Applies a suspicion after `crashes` crashes that the store holds. */
  applySuspicion(key: RequestKey, crashes: number, now: number): void;
  /** Applies a quarantine that the store holds; returns true if it is new here. */
  applyQuarantine(key: RequestKey, now: number): boolean;
  /**
   * Ends a quarantine that the store no longer holds. The request is then a suspect, which runs
   * alone, until it completes or the suspicion ends.
   */
  lift(key: RequestKey): void;
  /**
   * Number of known crashes of a request. With SUSPECT_CRASHES or more the request is a suspect
   * unless it was cleared.
   */
  crashesOf(fingerprint: string): number;
  /** Requests that are refused at present. */
  quarantined(now: number): readonly RequestKey[];
}

export function createCrashTracker(): CrashTracker {
  const entries = createCrashEntries();
  const completed = createCompletedRuns();

  const blame = (incarnation: string, { fingerprint, caller }: RequestKey, now: number): void => {
    const entry = entries.touch(fingerprint, now);
    addIncarnation(entry, incarnation);
    entry.callers.add(caller);
    entry.cleared.delete(caller);
  };

  const quarantine = ({ fingerprint, caller }: RequestKey, now: number): boolean => {
    const entry = entries.touch(fingerprint, now);
    const since = entry.quarantined.get(caller) ?? Number.NEGATIVE_INFINITY;
    const isNew = now - since >= QUARANTINE_MS;
    entry.reportedCrashes = Math.max(entry.reportedCrashes, SUSPECT_CRASHES);
    entry.callers.add(caller);
    entry.cleared.delete(caller);
    if (isNew) {
      entry.quarantined.set(caller, now);
    }
    return isNew;
  };

  const clear = ({ fingerprint, caller }: RequestKey): void => {
    const entry = entries.get(fingerprint);
    if (!entry) {
      return;
    }
    entry.quarantined.delete(caller);
    entry.cleared.add(caller);
    // Another caller's request may still be the cause: a back end may treat callers differently.
    if ([...entry.callers].every((each) => entry.cleared.has(each))) {
      entries.delete(fingerprint);
    }
  };

  const statusOf = ({ fingerprint, caller }: RequestKey, now: number): QuarantineStatus => {
    const entry = entries.get(fingerprint);
    if (!entry) {
      return QuarantineStatus.Clear;
    }
    const since = entry.quarantined.get(caller);
    if (since !== undefined && now - since < QUARANTINE_MS) {
      return QuarantineStatus.Quarantined;
    }
    if (entry.cleared.has(caller) || now - entry.lastCrashAt > SUSPICION_MS + QUARANTINE_MS) {
      return QuarantineStatus.Clear;
    }
    const isExpired = entry.quarantined.size === 0 && now - entry.lastCrashAt > SUSPICION_MS;
    return crashCountOf(entry) >= SUSPECT_CRASHES && !isExpired
      ? QuarantineStatus.Suspect
      : QuarantineStatus.Clear;
  };

  /** The suspect beside which every other request was abandoned and has no known crash. */
  const soleSuspectOf = (inFlight: readonly InFlightRequest[], now: number): RequestKey[] => {
    const candidates = inFlight.filter(
      ({ fingerprint, isAbandoned }) => !isAbandoned || entries.get(fingerprint) !== undefined,
    );
    const [sole, ...others] = distinctKeys(candidates);
    const isSuspect = sole !== undefined && statusOf(sole, now) === QuarantineStatus.Suspect;
    const hadPriorCrash = candidates.every((request) => request.hadPriorCrash);
    return isSuspect && hadPriorCrash && others.length === 0 ? [sole] : [];
  };

  return {
    statusOf,
    quarantineLeftMs: ({ fingerprint, caller }, now) => {
      const since = entries.get(fingerprint)?.quarantined.get(caller);
      return since === undefined ? 0 : Math.max(0, since + QUARANTINE_MS - now);
    },
    noteCompleted: (key, now) => {
      completed.note(key, now);
      const isSuspect = statusOf(key, now) === QuarantineStatus.Suspect;
      clear(key);
      return isSuspect ? { ...EMPTY_ANNOUNCEMENT, cleared: [key] } : undefined;
    },
    noteCrash: (incarnation, inFlight, now) => {
      // The same request may run more than once at a time on a back end.
      const isAlone = new Set(inFlight.map(keyText)).size === 1;
      const suspects = distinctKeys(inFlight).filter((key) => isAlone || !completed.has(key, now));
      const soleSuspect = soleSuspectOf(inFlight, now);
      for (const key of suspects) {
        blame(incarnation, key, now);
      }
      const hadPriorCrash = inFlight.some((request) => request.hadPriorCrash);
      const quarantined = isAlone && hadPriorCrash ? suspects : soleSuspect;
      for (const key of quarantined) {
        quarantine(key, now);
      }
      return { ...EMPTY_ANNOUNCEMENT, incarnation, suspects, quarantined };
    },
    applyAnnouncement: ({ incarnation, suspects, quarantined, cleared }, now) => {
      for (const key of suspects) {
        if (incarnation !== undefined && !completed.has(key, now)) {
          blame(incarnation, key, now);
        }
      }
      cleared.forEach(clear);
      return quarantined.filter((key) => quarantine(key, now));
    },
    applySuspicion: (key, crashes, now) => {
      if (!completed.has(key, now)) {
        const entry = entries.touch(key.fingerprint, now);
        entry.reportedCrashes = Math.max(entry.reportedCrashes, crashes);
        entry.callers.add(key.caller);
      }
    },
    applyQuarantine: quarantine,
    lift: ({ fingerprint, caller }) => {
      entries.get(fingerprint)?.quarantined.delete(caller);
    },
    crashesOf: (fingerprint) => {
      const entry = entries.get(fingerprint);
      return entry ? crashCountOf(entry) : 0;
    },
    quarantined: (now) =>
      entries
        .all()
        .flatMap(([fingerprint, entry]) =>
          [...entry.quarantined.keys()]
            .map((caller) => ({ fingerprint, caller }))
            .filter((key) => statusOf(key, now) === QuarantineStatus.Quarantined),
        ),
  };
}

const EMPTY_ANNOUNCEMENT: CrashAnnouncement = {
  incarnation: undefined,
  suspects: [],
  quarantined: [],
  cleared: [],
};
