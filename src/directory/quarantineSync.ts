/**
 * Keeps the crash ledgers of all nodes in step. News goes from node to node at once, also while the
 * store is away. Crashes of suspects are kept in the store as well, for nodes that start later, also after
 * all have lost power, and for operators, who lift a quarantine by removing the record of its crash.
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

/** Pause between two looks for records that are of no use any more, in milliseconds. */
const CLEANING_MS = 30_000;

/** What has become of a quarantine here, and who said so. */
export type QuarantineChange = 'begun' | 'lifted' | 'cleared';

/** What is needed of the node. */
export interface QuarantineSyncContext {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly ledger: CrashTracker;
  readonly directory: OwnerDirectory;
  readonly broadcast: AnnouncementBroadcast;
  readonly own: () => OwnerRecord;
  readonly timing: WatchTiming;
  readonly onConnected: CollectionHandler<unknown>['onConnected'];
  readonly onQuarantineChange: (
    key: RequestKey,
    change: QuarantineChange,
    origin: string,
    crashes: number,
  ) => void;
  /** A record of this name, or news, cannot be read; `origin` is `store` or the address of a node. */
  readonly onUnreadable: (name: string, origin: string) => void;
}

export interface QuarantineSync {
  start(): void;
  stop(): void;
  /** Something was found out here. */
  publish(news: CrashAnnouncement): void;
}

export function createQuarantineSync(context: QuarantineSyncContext): QuarantineSync {
  const { clock, store, ledger, directory, broadcast, own, timing, onConnected } = context;
  const { onQuarantineChange, onUnreadable } = context;
  let cleaning: NodeJS.Timeout | undefined;

  const note = (key: RequestKey, change: QuarantineChange, origin: string): void =>
    onQuarantineChange(key, change, origin, ledger.crashesOf(key.fingerprint));

  const counted = (keys: readonly RequestKey[]): CrashedRequest[] =>
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
          note(key, 'begun', 'store');
        }
      }
    },
    onRemoved: ({ quarantined }) => {
      for (const key of quarantined) {
        ledger.lift(key);
        note(key, 'lifted', 'store');
      }
    },
    onConnected,
    onUnreadable: (name) => onUnreadable(name, 'store'),
  });

  /** What ran to its end is not quarantined by anything that the store says. */
  const removeQuarantineOf = ({ fingerprint, caller: from }: RequestKey): void => {
    for (const [name, { quarantined }] of records.all()) {
      if (quarantined.some((key) => key.fingerprint === fingerprint && key.caller === from)) {
        // Should that fail, the record is found by the next cleaning.
        records.remove(name);
      }
    }
  };

  /** Of all nodes the first one by rank removes what is of no use any longer. */
  const clean = (): void => {
    for (const [name, { suspects }] of records.all()) {
      const isOver = !suspects.some(isSuspect);
      if (isOver && rankNames(name, nodes())[0] === own().node) {
        records.remove(name);
      }
    }
  };

  const noteQuarantined = (keys: readonly RequestKey[], origin: string): void => {
    for (const key of keys) {
      note(key, 'begun', origin);
    }
  };

  broadcast.subscribe(AnnouncementTopic.Crashes, (content, from) => {
    const news = decodeCrashAnnouncement(content);
    if (news) {
      noteQuarantined(ledger.applyAnnouncement(news, clock.now()), from);
    } else {
      onUnreadable('news', from);
    }
  });

  return {
    start: () => {
      cleaning = setInterval(clean, CLEANING_MS);
      records.start();
    },
    stop: () => {
      clearInterval(cleaning);
      records.stop();
    },
    publish: (news) => {
      broadcast.publish(AnnouncementTopic.Crashes, encodeCrashAnnouncement(news));
      noteQuarantined(news.quarantined, 'own');
      if (news.incarnation !== undefined) {
        // First crashes are of no use there: most of what was under way runs to its end at once.
        void records.write(news.incarnation, {
          suspects: counted(news.suspects),
          quarantined: counted(news.quarantined),
        });
      }
      for (const key of news.cleared) {
        note(key, 'cleared', 'own');
        removeQuarantineOf(key);
      }
    },
  };
}
