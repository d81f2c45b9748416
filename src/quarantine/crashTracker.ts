/**
 * What is known of requests that crash back ends, and what follows from it. State and rules without
 * sockets or timers: each call takes the present time, and returns the news that other nodes need.
 *
 * A request that was under way when its back end crashed may be to blame, as may all that ran beside it.
 * Under a second crash it is a suspect: from then on it runs alone on its back end, at one owner of the
 * mesh. If a back end crashes while it alone is under way, and it had been under a crash before it began,
 * it is quarantined: back ends that end together for a reason of their own, a whole domain of them, do not
 * convict what runs on all of them. If it runs to its end, it is cleared. So nobody is refused for having
 * been beside a crash.
 */

import { createCompletedRuns } from './completedRuns.js';
import { addIncarnation, crashCountOf, createCrashEntries } from './crashEntries.js';
import { distinctKeys, keyText, type RequestKey } from './requestKey.js';

export type { RequestKey } from './requestKey.js';

/** A request that was under way when its back end crashed. */
export interface InFlightRequest extends RequestKey {
  /** True if it was known of a crash under it when it began to run. */
  readonly hadPriorCrash: boolean;
}

/** How a request is treated. */
export enum QuarantineStatus {
  Clear = 'clear',
  /** Runs alone on its back end, at one owner of the mesh. */
  Suspect = 'suspect',
  /** Is refused. */
  Quarantined = 'quarantined',
}

/** What one node has found out and others are to know. */
export interface CrashAnnouncement {
  /** Name of the back end's life that ended in a crash, if one did. */
  readonly incarnation: string | undefined;
  readonly suspects: readonly RequestKey[];
  readonly quarantined: readonly RequestKey[];
  /** Suspects that have run to their end. */
  readonly cleared: readonly RequestKey[];
}

/**
 * Crashes after which a request runs alone. At one, each crash would have up to all slots of a back end
 * run alone, one after the other, and the users' rules grant three crashes.
 */
export const SUSPECT_CRASHES = 2;

/** Without another crash, suspicion ends after this time, in milliseconds: clients come again minutes later. */
const SUSPICION_MS = 600_000;

/**
 * A quarantined request runs alone once more after this time, in milliseconds: its back end may have
 * been mended. If not, that costs one back end for some seconds of every ten minutes.
 */
export const QUARANTINE_MS = 600_000;

/** One per node. `now` is a steady time in milliseconds. */
export interface CrashTracker {
  statusOf(key: RequestKey, now: number): QuarantineStatus;
  /** Milliseconds until a quarantined request may run again. */
  quarantineLeftMs(key: RequestKey, now: number): number;
  /** A back end here has run the request to its end. Returns news if it was a suspect. */
  noteCompleted(key: RequestKey, now: number): CrashAnnouncement | undefined;
  /** A back end's life here has ended in a crash while these requests, and no others, were under way. */
  noteCrash(life: string, underWay: readonly InFlightRequest[], now: number): CrashAnnouncement;
  /** Takes another node's news; returns what is quarantined since. */
  applyAnnouncement(news: CrashAnnouncement, now: number): readonly RequestKey[];
  /** The store holds a suspicion of so many crashes. */
  applySuspicion(key: RequestKey, crashes: number, now: number): void;
  /** The store holds a quarantine; true if it was not known here. */
  applyQuarantine(key: RequestKey, now: number): boolean;
  /** The store does not hold it any more: the request runs alone once. */
  lift(key: RequestKey): void;
  /** Crashes that are known of a request; from SUSPECT_CRASHES on it is a suspect unless it was cleared. */
  crashesOf(fingerprint: string): number;
  /** Requests that are refused now. */
  quarantined(now: number): readonly RequestKey[];
}

export function createCrashTracker(): CrashTracker {
  const entries = createCrashEntries();
  const completed = createCompletedRuns();

  const blame = (life: string, { fingerprint, caller }: RequestKey, now: number): void => {
    const entry = entries.touch(fingerprint, now);
    addIncarnation(entry, life);
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
    // Another caller's request may still be to blame: a back end can tell them apart.
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
    const isForgotten = entry.quarantined.size === 0 && now - entry.lastCrashAt > SUSPICION_MS;
    return crashCountOf(entry) >= SUSPECT_CRASHES && !isForgotten
      ? QuarantineStatus.Suspect
      : QuarantineStatus.Clear;
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
      return isSuspect ? { ...NO_NEWS, cleared: [key] } : undefined;
    },
    noteCrash: (incarnation, underWay, now) => {
      // The same request may run on a back end more than once at a time.
      const isAlone = new Set(underWay.map(keyText)).size === 1;
      const suspects = distinctKeys(underWay).filter((key) => isAlone || !completed.has(key, now));
      for (const key of suspects) {
        blame(incarnation, key, now);
      }
      const hadCrashed = underWay.some((request) => request.hadPriorCrash);
      const quarantined = isAlone && hadCrashed ? suspects : [];
      for (const key of quarantined) {
        quarantine(key, now);
      }
      return { ...NO_NEWS, incarnation, suspects, quarantined };
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

const NO_NEWS: CrashAnnouncement = {
  incarnation: undefined,
  suspects: [],
  quarantined: [],
  cleared: [],
};
