/**
 * Keeps records of requests that were in flight when a back end crashed, up to a maximum number.
 */

/**
 * Number of requests whose crashes are recorded, at most 1 MB. One crash adds as many as the back
 * end has slots.
 */
const MAX_ENTRIES = 2_048;

/** Incarnations recorded for one request; more make no difference. */
const MAX_INCARNATIONS = 8;

/** Record of all requests with one fingerprint; some members are by caller. */
export interface CrashEntry {
  /** Names of the incarnations that crashed while the request was in flight. */
  readonly incarnations: Set<string>;
  /** Callers whose request was in flight at a crash. */
  readonly callers: Set<string>;
  /** Callers whose request has completed since. */
  readonly cleared: Set<string>;
  /** Callers whose request is quarantined, with the monotonic time of that in milliseconds. */
  readonly quarantined: Map<string, number>;
  /** Number of crashes that were reported without the names of the incarnations. */
  reportedCrashes: number;
  /** Monotonic time in milliseconds at which the last crash became known. */
  lastCrashAt: number;
}

/** Entries by the fingerprint of the request. */
export interface CrashEntries {
  get(fingerprint: string): CrashEntry | undefined;
  /** Returns the entry of a request, created if missing, and sets its last crash to `now`. */
  touch(fingerprint: string, now: number): CrashEntry;
  delete(fingerprint: string): void;
  /** All entries, by the time of the last crash, oldest first. */
  all(): readonly (readonly [fingerprint: string, entry: CrashEntry])[];
}

export function createCrashEntries(): CrashEntries {
  const entries = new Map<string, CrashEntry>();

  /**
   * Removes the oldest entry without a quarantine, or the oldest if all have one. Requests made up
   * to fill the memory thus displace one another before any quarantine.
   */
  const makeRoom = (): void => {
    if (entries.size <= MAX_ENTRIES) {
      return;
    }
    for (const [fingerprint, { quarantined }] of entries) {
      if (quarantined.size === 0) {
        entries.delete(fingerprint);
        return;
      }
    }
    entries.delete(entries.keys().next().value as string);
  };

  return {
    get: (fingerprint) => entries.get(fingerprint),
    touch: (fingerprint, now) => {
      const entry = entries.get(fingerprint) ?? newEntry();
      entry.lastCrashAt = now;
      // Inserted again to keep the entries in the order of their last crashes.
      entries.delete(fingerprint);
      entries.set(fingerprint, entry);
      makeRoom();
      return entry;
    },
    delete: (fingerprint) => {
      entries.delete(fingerprint);
    },
    all: () => [...entries],
  };
}

/** Number of known crashes of a request. */
export function crashCountOf({ incarnations, reportedCrashes }: CrashEntry): number {
  return Math.max(incarnations.size, reportedCrashes);
}

/** Records that an incarnation crashed while the request was in flight. */
export function addIncarnation({ incarnations }: CrashEntry, incarnation: string): void {
  if (incarnations.size < MAX_INCARNATIONS) {
    incarnations.add(incarnation);
  }
}

function newEntry(): CrashEntry {
  return {
    incarnations: new Set(),
    callers: new Set(),
    cleared: new Set(),
    quarantined: new Map(),
    reportedCrashes: 0,
    lastCrashAt: 0,
  };
}
