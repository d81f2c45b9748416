/**
 * Keeps the crash ledgers of all nodes in step. News goes from node to node at once, also while the
 * store is away. Crashes of suspects are kept in the store as well, for nodes that start later, also after
 * all have lost power, and for operators, who lift a quarantine by removing the record of its crash.
 */
import type { Clock } from '../model/clock.js';
import { rankNames } from '../model/rendezvous.js';
import { NewsTopic } from '../peer/peerMessages.js';
import {
  type CrashLedger,
  type CrashNews,
  type RequestKey,
  Standing,
  SUSPECT_CRASHES,
} from '../quarantine/crashLedger.js';
import { listOfNews, readNews } from '../quarantine/crashNewsCodec.js';
import {
  type CollectionHandler,
  CollectionWatcher,
  type WatchTiming,
} from '../source/collection-watcher.js';
import type { ObjectStore, StoredObject } from '../source/object-store.js';
import { CRASH_KIND, type CrashedRequest, type CrashRecord, isCrashRecord } from './crashRecord.js';
import type { NewsBroadcast } from './newsBroadcast.js';
import type { OwnerDirectory } from './owner-directory.js';
import type { OwnerRecord } from './owner-entry.js';

/** Pause before a record that could not be written is written again, in milliseconds. */
const WRITE_RETRY_MS = 1_000;

/** Pause between two looks for records that are of no use any more, in milliseconds. */
const CLEANING_MS = 30_000;

/** What has become of a quarantine here, and who said so. */
export type QuarantineChange = 'begun' | 'lifted' | 'cleared';

/** What is needed of the node. */
export interface QuarantineSyncContext {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly ledger: CrashLedger;
  readonly directory: OwnerDirectory;
  readonly broadcast: NewsBroadcast;
  readonly own: () => OwnerRecord;
  readonly timing: WatchTiming;
  readonly onConnected: CollectionHandler<unknown>['onConnected'];
  readonly onQuarantine: (
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
  tell(news: CrashNews): void;
}

export function createQuarantineSync(context: QuarantineSyncContext): QuarantineSync {
  const { clock, store, ledger, directory, broadcast, own, timing, onConnected } = context;
  const { onQuarantine, onUnreadable } = context;
  /** Records in the store, by their names. */
  const stored = new Map<string, StoredObject<CrashRecord>>();
  let isStopped = false;
  let cleaning: NodeJS.Timeout | undefined;

  const note = (key: RequestKey, change: QuarantineChange, origin: string): void =>
    onQuarantine(key, change, origin, ledger.crashesOf(key.fingerprint));

  const counted = (keys: readonly RequestKey[]): CrashedRequest[] =>
    keys
      .map((key) => ({ ...key, crashes: ledger.crashesOf(key.fingerprint) }))
      .filter(({ crashes }) => crashes >= SUSPECT_CRASHES);

  /** First crashes are not written: most of what was under way there runs to its end at once. */
  const write = async (name: string, { suspects, quarantined }: CrashNews): Promise<void> => {
    const record = { suspects: counted(suspects), quarantined: counted(quarantined) };
    const isOfUse = () => record.suspects.some(isSuspect);
    while (!isStopped && isOfUse()) {
      const result = await store.create<CrashRecord>(CRASH_KIND, name, record);
      if (result.ok || result.failure === 'conflict') {
        return;
      }
      await pause(WRITE_RETRY_MS * (0.5 + Math.random()));
    }
  };

  const isSuspect = (key: RequestKey): boolean =>
    ledger.standingOf(key, clock.now()) !== Standing.Clear;

  const remove = (name: string): void => {
    const object = stored.get(name);
    if (object) {
      // Should that fail, the record is found by the next cleaning.
      void store.remove(CRASH_KIND, name, object.revision);
    }
  };

  /** What ran to its end is not quarantined by anything that the store says. */
  const removeQuarantineOf = ({ fingerprint, caller: from }: RequestKey): void => {
    for (const [name, { spec }] of stored) {
      if (spec.quarantined.some((key) => key.fingerprint === fingerprint && key.caller === from)) {
        remove(name);
      }
    }
  };

  const lift = (name: string): void => {
    const object = stored.get(name);
    stored.delete(name);
    for (const key of object?.spec.quarantined ?? []) {
      ledger.lift(key);
      note(key, 'lifted', 'store');
    }
  };

  const takeObject = ({ name, revision, spec }: StoredObject<unknown>): void => {
    if (stored.has(name)) {
      return;
    }
    if (!isCrashRecord(spec)) {
      onUnreadable(name, 'store');
      return;
    }
    stored.set(name, { name, revision, spec });
    for (const key of spec.suspects) {
      ledger.takeSuspicion(key, key.crashes, clock.now());
    }
    for (const key of spec.quarantined) {
      if (ledger.takeQuarantine(key, clock.now())) {
        note(key, 'begun', 'store');
      }
    }
  };

  /** Of all nodes the first one by rank removes what is of no use any longer. */
  const clean = (): void => {
    const nodes = directory.all().map(({ record }) => record.node);
    for (const [name, { spec }] of stored) {
      const isOver = !spec.suspects.some(isSuspect);
      if (isOver && rankNames(name, nodes)[0] === own().node) {
        remove(name);
      }
    }
  };

  const watcher = new CollectionWatcher<CrashRecord>(
    store,
    CRASH_KIND,
    {
      onList: (objects) => {
        const present = new Set(objects.map(({ name }) => name));
        for (const name of [...stored.keys()].filter((each) => !present.has(each))) {
          lift(name);
        }
        objects.forEach(takeObject);
      },
      onChange: (object, gone) => (gone ? lift(object.name) : takeObject(object)),
      onConnected,
    },
    timing,
  );

  const noteQuarantined = (keys: readonly RequestKey[], origin: string): void => {
    for (const key of keys) {
      note(key, 'begun', origin);
    }
  };

  broadcast.listen(NewsTopic.Crashes, (content, from) => {
    const news = readNews(content);
    if (news) {
      noteQuarantined(ledger.takeNews(news, clock.now()), from);
    } else {
      onUnreadable('news', from);
    }
  });

  return {
    start: () => {
      cleaning = setInterval(clean, CLEANING_MS);
      void watcher.run();
    },
    stop: () => {
      isStopped = true;
      clearInterval(cleaning);
      watcher.stop();
    },
    tell: (news) => {
      broadcast.tell(NewsTopic.Crashes, listOfNews(news));
      noteQuarantined(news.quarantined, 'own');
      if (news.life !== undefined) {
        void write(news.life, news);
      }
      for (const key of news.cleared) {
        note(key, 'cleared', 'own');
        removeQuarantineOf(key);
      }
    },
  };
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
