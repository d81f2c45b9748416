/**
 * Synchronises the directory with the store: publishes this node's record, follows the records of
 * the other nodes, and probes absent owners.
 */
import type { Clock } from '../model/clock.js';
import type { PeerClient } from '../peer/peerClient.js';
import type { PeerReport, PeerSender } from '../peer/peerMessages.js';
import {
  type CollectionHandler,
  CollectionWatcher,
  type WatchTiming,
} from '../source/collection-watcher.js';
import type { ObjectStore, StoredObject } from '../source/object-store.js';
import { createMissingOwners, type MissingOwners } from './missingOwners.js';
import type { OwnerDirectory } from './owner-directory.js';
import type { OwnerEntry, OwnerRecord } from './owner-entry.js';
import { createOwnerProbes, type OwnerProbes } from './ownerProbes.js';
import { isOwnerRecord, readOwnerRecords } from './ownerRecord.js';
import { createOwnRecord, type OwnRecord } from './ownRecord.js';
import { createRestoredRecords, type RestoredRecords } from './restoredRecords.js';
import { createStaggeredRepairs } from './staggeredRepairs.js';

/** Kind of the objects through which nodes discover one another. */
export const NODE_KIND = 'spindlepaddle-nodes';

/** Interval in milliseconds at which owners that are due for a probe are looked for. */
const PROBE_TICK_MS = 100;

/** Timeout of a status call in milliseconds. */
const STATUS_TIMEOUT_MS = 500;

/** Timeout in milliseconds of fetching the list of owners from another node. */
const DIRECTORY_TIMEOUT_MS = 1_000;

/** Dependencies on the rest of the node. */
export interface DirectorySyncOptions {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly directory: OwnerDirectory;
  readonly caller: PeerClient;
  readonly own: () => OwnerRecord;
  /** True while other nodes depend on this node's departure mark; defaults to false. */
  readonly marksDeparture?: () => boolean;
  readonly timing: WatchTiming;
  readonly onConnected: CollectionHandler<unknown>['onConnected'];
  readonly onOwnerChange: (node: string, change: string, detail: string) => void;
  /** Called when a node has marked its record as that of a node that leaves for good. */
  readonly onLeft?: (node: string) => void;
  readonly onReport: (address: string, report: PeerReport) => void;
  /** Called with the name of a record that does not match the schema. */
  readonly onUnreadable: (name: string) => void;
  readonly random?: () => number;
}

/** One per node. */
export class DirectorySync {
  private readonly watcher: CollectionWatcher<OwnerRecord>;
  private readonly ownRecord: OwnRecord;
  private isStopped = false;
  private hasStoreList = false;
  /** True once another node has sent its list of owners, before the store has. */
  private hasPeerList = false;
  private isFetchingOwners = false;
  private readonly probes: OwnerProbes;
  private readonly missingOwners: MissingOwners;
  private readonly restoredRecords: RestoredRecords;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: DirectorySyncOptions) {
    const { clock, directory, caller, own } = options;
    this.probes = createOwnerProbes({
      clock,
      directory,
      own,
      exchangeStatus: (address) => caller.status(address, STATUS_TIMEOUT_MS),
      onReport: (entry, report) => this.noteReport(entry, report),
    });
    this.missingOwners = createMissingOwners({
      clock,
      isAlive: (node) => this.probes.isAlive(node),
      forget: (node) => this.forget(node),
    });
    this.restoredRecords = createRestoredRecords({
      repairs: createStaggeredRepairs({
        own: () => own().node,
        nodes: () => directory.all().map(({ record }) => record.node),
      }),
      isAlive: async ({ address }) =>
        (await caller.status(address, STATUS_TIMEOUT_MS)) !== undefined,
      remove: (name, revision) => void options.store.remove(NODE_KIND, name, revision),
      onAlive: (object) => this.putOwner(object),
    });
    this.watcher = new CollectionWatcher<OwnerRecord>(
      options.store,
      NODE_KIND,
      {
        onList: (objects, revision) => this.onList(objects, revision),
        onChange: (object, isRemoved, revision) => this.onChange(object, isRemoved, revision),
        onConnected: options.onConnected,
      },
      options.timing,
    );
    this.ownRecord = createOwnRecord({
      store: options.store,
      kind: NODE_KIND,
      own,
      marksDeparture: options.marksDeparture ?? (() => false),
      refresh: () => this.watcher.refresh(),
    });
  }

  /** True once the list of nodes has been received, from the store or from another node. */
  get isSynced(): boolean {
    return this.hasStoreList || this.hasPeerList;
  }

  /** The list of owners, for a node that cannot reach the store; undefined until synchronised. */
  bytes(): Buffer | undefined {
    if (!this.isSynced) {
      return undefined;
    }
    const records = this.options.directory.all().map((entry) => entry.record);
    return Buffer.from(JSON.stringify(records));
  }

  start(): void {
    this.timer = setInterval(() => {
      this.probes.probeDue();
      this.missingOwners.probeDue();
    }, PROBE_TICK_MS);
    void this.watcher.run();
  }

  /** Stops the synchronisation; with `leaving`, the own record is removed for good. */
  async stop(leaving: boolean): Promise<void> {
    this.isStopped = true;
    clearInterval(this.timer);
    this.restoredRecords.stop();
    this.watcher.stop();
    await this.ownRecord.stop(leaving);
  }

  /** Notifies other nodes that the back end of this node is ready. */
  announceReady(): void {
    this.probes.announceReady();
  }

  /**
   * Handles a direct message of another node: applies its report and, if this node has no list of
   * owners yet, fetches one from the sender. So a node joins even without the store.
   */
  notePeer(sender: PeerSender, report: PeerReport | undefined): void {
    const entry = this.options.directory.findByAddress(sender.address);
    if (entry && report) {
      this.noteReport(entry, report);
    }
    if (!this.isSynced && !this.isFetchingOwners && !this.isStopped) {
      this.isFetchingOwners = true;
      void this.fetchOwnersFromPeer(sender.address).finally(() => {
        this.isFetchingOwners = false;
      });
    }
  }

  /**
   * Adds the owners in another node's list. Once the store's list arrives, the owners that it lacks
   * are probed, and removed if they do not answer.
   */
  private async fetchOwnersFromPeer(address: string): Promise<void> {
    const bytes = await this.options.caller.directory(address, DIRECTORY_TIMEOUT_MS);
    const records = bytes && readOwnerRecords(bytes);
    if (!records || this.isSynced) {
      return;
    }
    const own = this.options.own().node;
    for (const record of records.filter(({ node }) => node !== own)) {
      this.options.directory.put(record);
    }
    this.hasPeerList = true;
    this.options.onOwnerChange(address, 'told', `${records.length} owners`);
  }

  /** Publishes the own record if the store does not hold its current content. */
  async publish(): Promise<void> {
    if (this.hasStoreList) {
      await this.ownRecord.publish();
    }
  }

  private onList(objects: readonly StoredObject<OwnerRecord>[], revision: number): void {
    const own = this.options.own().node;
    this.hasStoreList = true;
    for (const object of objects) {
      this.applyObject(object);
    }
    const stored = new Set([own, ...objects.map((object) => object.name)]);
    for (const { record } of this.options.directory.all()) {
      if (!stored.has(record.node)) {
        this.noteRecordGone(record.node, revision);
      }
    }
    if (!objects.some((object) => object.name === own)) {
      this.ownRecord.noteMissing();
    }
    void this.publish();
  }

  private onChange(object: StoredObject<OwnerRecord>, isRemoved: boolean, revision: number): void {
    const own = this.options.own().node;
    if (!isRemoved) {
      this.applyObject(object);
      // Another writer may have replaced the own record.
      void this.publish();
      return;
    }
    if (object.name === own) {
      this.ownRecord.noteMissing();
      void this.publish();
      return;
    }
    if (hasLeft(object)) {
      this.restoredRecords.noteAbsent(object.name, revision);
      this.noteLeft(object.name);
    } else {
      this.noteRecordGone(object.name, revision);
    }
  }

  /** The node may still be running although its record is gone: it is probed before removal. */
  private noteRecordGone(node: string, revision: number): void {
    this.restoredRecords.noteAbsent(node, revision);
    this.missingOwners.add(node);
  }

  /** Removes a node that has marked its departure. Its record disappears next; no probe is sent. */
  private noteLeft(node: string): void {
    this.missingOwners.remove(node);
    if (this.options.directory.remove(node)) {
      this.options.onOwnerChange(node, 'removed', 'left');
    }
    this.options.onLeft?.(node);
  }

  private forget(node: string): void {
    this.options.directory.remove(node);
    this.options.onOwnerChange(node, 'removed', 'store');
  }

  private applyObject(object: StoredObject<OwnerRecord>): void {
    const { own, onUnreadable } = this.options;
    const isReadable = isOwnerRecord(object.spec);
    if (!isReadable) {
      onUnreadable(object.name);
    }
    if (object.name === own().node) {
      this.ownRecord.noteStored(object);
      return;
    }
    if (!isReadable) {
      // The entry from the node's earlier record stays.
      return;
    }
    if (this.restoredRecords.verifyIfRestored(object)) {
      return;
    }
    if (hasLeft(object)) {
      this.noteLeft(object.name);
    } else {
      this.putOwner(object);
    }
  }

  private putOwner({ name, spec }: StoredObject<OwnerRecord>): void {
    this.missingOwners.remove(name);
    this.options.directory.put({ ...spec, node: name });
  }

  private noteReport(entry: OwnerEntry, report: PeerReport): void {
    const before = entry.absenceReason;
    entry.noteReport(report, this.options.clock.now());
    if (before && !entry.absenceReason) {
      this.options.onOwnerChange(entry.record.node, 'ready', before);
    }
    this.options.onReport(entry.record.address, report);
  }
}

/**
 * True if the object's content is the last record of a node that has left for good. The store may
 * also return that content with the removal of the object.
 */
function hasLeft({ spec }: StoredObject<OwnerRecord>): boolean {
  return isOwnerRecord(spec) && spec.hasLeft === true;
}
