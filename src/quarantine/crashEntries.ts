/** What is remembered of each request that was under way when a back end crashed, within a bound. */

/** Requests of which crashes are remembered: 1 MB at the most; one crash adds up to the slots of a back end. */
const MAX_ENTRIES = 2_048;

/** Lives of back ends that are told apart for one request: more make no difference. */
const MAX_LIVES = 8;

/** What is known of one request; its callers are told apart. */
export interface CrashEntry {
  /** Names of the lives that ended under the request. */
  readonly incarnations: Set<string>;
  /** Callers whose request was under a crash. */
  readonly callers: Set<string>;
  /** Callers whose request ran to its end since. */
  readonly cleared: Set<string>;
  /** Callers whose request is quarantined, with the steady time of that in milliseconds. */
  readonly quarantined: Map<string, number>;
  /** Crashes that were told without naming the lives. */
  reportedCrashes: number;
  /** Steady time in milliseconds of the last crash that was heard of. */
  lastCrashAt: number;
}

/** Entries by the request's fingerprint. */
export interface CrashEntries {
  get(fingerprint: string): CrashEntry | undefined;
  /** The entry, made if there is none, of a request that a crash was heard of at `now`. */
  touch(fingerprint: string, now: number): CrashEntry;
  delete(fingerprint: string): void;
  /** All of them, that of the oldest last crash first. */
  all(): readonly (readonly [fingerprint: string, entry: CrashEntry])[];
}

export function createCrashEntries(): CrashEntries {
  const entries = new Map<string, CrashEntry>();

  /** Requests that somebody makes up to fill the memory push out one another before any quarantine. */
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
      // Put in anew, so that the order stays that of the last crashes.
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

/** Crashes that are known of a request. */
export function crashCountOf({ incarnations, reportedCrashes }: CrashEntry): number {
  return Math.max(incarnations.size, reportedCrashes);
}

/** A life of a back end has ended under the request. */
export function addIncarnation({ incarnations }: CrashEntry, life: string): void {
  if (incarnations.size < MAX_LIVES) {
    incarnations.add(life);
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
