/**
 * Synchronises the crash trackers of all nodes. Announcements go from node to node at once, even
 * while the store is down. Crashes of a back end while it ran suspect requests are also written to
 * the store. Nodes that start later read them there, even after a power loss of all nodes, and
 * operators lift a quarantine by removing its crash record.
 */
import type { Clock } from '../model/clock.js';
import { rankNames } from '../model/rendezvous.js';
import { AnnouncementTopic } from '../peer/peerMessages.js';
import {
  decodeCrashAnnouncement,
  encodeCrashAnnouncement,
} from '../quarantine/crashAnnouncementCodec.js';
import {
  type CrashAnnouncement,
  type CrashTracker,
  QuarantineStatus,
  type RequestKey,
  SUSPECT_CRASHES,
} from '../quarantine/crashTracker.js';
import type { CollectionHandler, WatchTiming } from '../source/collection-watcher.js';
import type { ObjectStore } from '../source/object-store.js';
import type { AnnouncementBroadcast } from './announcementBroadcast.js';
import type { CrashedRequest } from './crashRecord.js';
import { createCrashRecords } from './crashRecords.js';
import type { OwnerDirectory } from './owner-directory.js';
import type { OwnerRecord } from './owner-entry.js';
import { createStaggeredRepairs } from './staggeredRepairs.js';

/** Interval in milliseconds between searches for crash records without effect. */
const CLEANUP_INTERVAL_MS = 30_000;

/** Change of a quarantine at this node, for the log. */
export type QuarantineChange = 'begun' | 'lifted' | 'cleared';

/** Dependencies on the rest of the node. */
export interface QuarantineSyncContext {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly ledger: CrashTracker;
  readonly directory: OwnerDirectory;
  readonly broadcast: AnnouncementBroadcast;
  readonly own: () => OwnerRecord;
  readonly timing: WatchTiming;
  readonly onConnected: CollectionHandler<unknown>['onConnected'];
  /** `origin` is `own`, `store` or the address of the node that has sent the announcement. */
  readonly onQuarantineChange: (
    key: RequestKey,
    change: QuarantineChange,
    origin: string,
    crashes: number,
  ) => void;
  /**
   * Called for a crash record or an announcement that is not valid. `name` is the record's name;
   * `news` for an announcement.
   * `origin` is `store` or the address of the node that has sent the announcement.
   */
  readonly onUnreadable: (name: string, origin: string) => void;
}

export interface QuarantineSync {
  start(): void;
  stop(): void;
  /** Sends what this node's crash tracker has found to the other nodes, and records crashes. */
  publish(announcement: CrashAnnouncement): void;
}

export function createQuarantineSync(context: QuarantineSyncContext): QuarantineSync {
  const { clock, store, ledger, directory, broadcast, own, timing, onConnected } = context;
  const { onQuarantineChange, onUnreadable } = context;
  let cleanupTimer: NodeJS.Timeout | undefined;

  const reportChange = (key: RequestKey, change: QuarantineChange, origin: string): void =>
    onQuarantineChange(key, change, origin, ledger.crashesOf(key.fingerprint));

  const suspectRequests = (keys: readonly RequestKey[]): CrashedRequest[] =>
    keys
      .map((key) => ({ ...key, crashes: ledger.crashesOf(key.fingerprint) }))
      .filter(({ crashes }) => crashes >= SUSPECT_CRASHES);

  const isSuspect = (key: RequestKey): boolean =>
    ledger.statusOf(key, clock.now()) !== QuarantineStatus.Clear;

  const nodes = (): string[] => directory.all().map(({ record }) => record.node);

  const records = createCrashRecords({
    store,
    timing,
    repairs: createStaggeredRepairs({ own: () => own().node, nodes }),
    isRelevant: ({ suspects }) => suspects.some(isSuspect),
    onRecord: ({ suspects, quarantined }) => {
      for (const key of suspects) {
        ledger.applySuspicion(key, key.crashes, clock.now());
      }
      for (const key of quarantined) {
        if (ledger.applyQuarantine(key, clock.now())) {
          reportChange(key, 'begun', 'store');
        }
      }
    },
    onRemoved: ({ quarantined }) => {
      for (const key of quarantined) {
        ledger.lift(key);
        reportChange(key, 'lifted', 'store');
      }
    },
    onConnected,
    onUnreadable: (name) => onUnreadable(name, 'store'),
  });

  /** Removes the records that quarantine a request which has since run to its end. */
  const removeQuarantineOf = ({ fingerprint, caller: service }: RequestKey): void => {
    for (const [name, { quarantined }] of records.all()) {
      if (quarantined.some((key) => key.fingerprint === fingerprint && key.caller === service)) {
        // If the removal fails, the next cleanup on the node first by rank removes the record.
        records.remove(name);
      }
    }
  };

  /** Removes records without effect, if this node is the first by rank for the record. */
  const removeExpired = (): void => {
    for (const [name, { suspects }] of records.all()) {
      const isExpired = !suspects.some(isSuspect);
      if (isExpired && rankNames(name, nodes())[0] === own().node) {
        records.remove(name);
      }
    }
  };

  const reportQuarantines = (keys: readonly RequestKey[], origin: string): void => {
    for (const key of keys) {
      reportChange(key, 'begun', origin);
    }
  };

  broadcast.subscribe(AnnouncementTopic.Crashes, (content, sender) => {
    const announcement = decodeCrashAnnouncement(content);
    if (announcement) {
      reportQuarantines(ledger.applyAnnouncement(announcement, clock.now()), sender);
    } else {
      onUnreadable('news', sender);
    }
  });

  return {
    start: () => {
      cleanupTimer = setInterval(removeExpired, CLEANUP_INTERVAL_MS);
      records.start();
    },
    stop: () => {
      clearInterval(cleanupTimer);
      records.stop();
    },
    publish: (announcement) => {
      broadcast.publish(AnnouncementTopic.Crashes, encodeCrashAnnouncement(announcement));
      reportQuarantines(announcement.quarantined, 'own');
      if (announcement.incarnation !== undefined) {
        // Requests with fewer than SUSPECT_CRASHES crashes are not written: most of the requests in
        // flight at a crash soon run to their end.
        void records.write(announcement.incarnation, {
          suspects: suspectRequests(announcement.suspects),
          quarantined: suspectRequests(announcement.quarantined),
        });
      }
      for (const key of announcement.cleared) {
        reportChange(key, 'cleared', 'own');
        removeQuarantineOf(key);
      }
    },
  };
}
