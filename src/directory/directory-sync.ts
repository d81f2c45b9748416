/**
 * Keeps the directory and the store in step: publishes this node's record once,
 * follows those of the others, and asks absent owners whether they are back.
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

/** Kind of the objects by which nodes find one another. */
export const NODE_KIND = 'spindlepaddle-nodes';

/** Pause between two looks for absent owners that are due, in milliseconds. */
const PROBE_TICK_MS = 100;

/** A status call that takes longer, in milliseconds, has failed. */
const STATUS_TIMEOUT_MS = 500;

/** The owners that another node knows are asked for at the most this long, in milliseconds. */
const DIRECTORY_TIMEOUT_MS = 1_000;

/** What the synchronisation needs of its node. */
export interface DirectorySyncOptions {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly directory: OwnerDirectory;
  readonly caller: PeerClient;
  readonly own: () => OwnerRecord;
  /** True while other nodes go by whether this one has left; left out: they do not. */
  readonly marksDeparture?: () => boolean;
  readonly timing: WatchTiming;
  readonly onConnected: CollectionHandler<unknown>['onConnected'];
  readonly onOwnerChange: (node: string, change: string, detail: string) => void;
  /** The node has left for good, by its own word. */
  readonly onLeft?: (node: string) => void;
  readonly onReport: (address: string, report: PeerReport) => void;
  /** The record of this name cannot be read. */
  readonly onUnreadable: (name: string) => void;
  readonly random?: () => number;
}

/** One per node. */
export class DirectorySync {
  private readonly watcher: CollectionWatcher<OwnerRecord>;
  private readonly ownRecord: OwnRecord;
  private stopped = false;
  private listed = false;
  /** True once another node has told its owners, while the store has not. */
  private hasPeerList = false;
  private isAsking = false;
  private readonly probes: OwnerProbes;
  private readonly missing: MissingOwners;
  private readonly returned: RestoredRecords;
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
    this.missing = createMissingOwners({
      clock,
      isAlive: (node) => this.probes.isAlive(node),
      forget: (node) => this.forget(node),
    });
    this.returned = createRestoredRecords({
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
        onChange: (object, gone, revision) => this.onChange(object, gone, revision),
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

  /** True once the other nodes are known: from the store, or else from one of them. */
  get isSynced(): boolean {
    return this.listed || this.hasPeerList;
  }

  /** The known owners, for a node that the store does not serve; undefined before they are known. */
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
      this.missing.probeDue();
    }, PROBE_TICK_MS);
    void this.watcher.run();
  }

  /** Stops following; `leaving` removes the own record for good. */
  async stop(leaving: boolean): Promise<void> {
    this.stopped = true;
    clearInterval(this.timer);
    this.returned.stop();
    this.watcher.stop();
    await this.ownRecord.stop(leaving);
  }

  /** Tells other nodes that the back end here is ready. */
  announceReady(): void {
    this.probes.announceReady();
  }

  /** A node that was heard of directly: it joins even if the store does not serve this node. */
  notePeer(sender: PeerSender, report: PeerReport | undefined): void {
    const entry = this.options.directory.findByAddress(sender.address);
    if (entry && report) {
      this.noteReport(entry, report);
    }
    if (!this.isSynced && !this.isAsking && !this.stopped) {
      this.isAsking = true;
      void this.fetchOwnersFromPeer(sender.address).finally(() => {
        this.isAsking = false;
      });
    }
  }

  /** Takes the owners that another node knows; the store's list, once it comes, replaces them. */
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

  /** Publishes the own record if the store holds another one. */
  async publish(): Promise<void> {
    if (this.listed) {
      await this.ownRecord.publish();
    }
  }

  private onList(objects: readonly StoredObject<OwnerRecord>[], revision: number): void {
    const own = this.options.own().node;
    this.listed = true;
    for (const object of objects) {
      this.take(object);
    }
    const stored = new Set([own, ...objects.map((object) => object.name)]);
    for (const { record } of this.options.directory.all()) {
      if (!stored.has(record.node)) {
        this.noteGone(record.node, revision);
      }
    }
    if (!objects.some((object) => object.name === own)) {
      this.ownRecord.noteMissing();
    }
    void this.publish();
  }

  private onChange(object: StoredObject<OwnerRecord>, gone: boolean, revision: number): void {
    const own = this.options.own().node;
    if (!gone) {
      this.take(object);
      // Another writer may have put something else in place of the own record.
      void this.publish();
      return;
    }
    if (object.name === own) {
      this.ownRecord.noteMissing();
      void this.publish();
      return;
    }
    if (hasLeft(object)) {
      this.returned.noteAbsent(object.name, revision);
      this.noteLeft(object.name);
    } else {
      this.noteGone(object.name, revision);
    }
  }

  /** Nothing says yet whether the node is gone as well. */
  private noteGone(node: string, revision: number): void {
    this.returned.noteAbsent(node, revision);
    this.missing.add(node);
  }

  /** Its record goes next: it is not asked whether it is still there. */
  private noteLeft(node: string): void {
    this.missing.remove(node);
    if (this.options.directory.remove(node)) {
      this.options.onOwnerChange(node, 'removed', 'left');
    }
    this.options.onLeft?.(node);
  }

  private forget(node: string): void {
    this.options.directory.remove(node);
    this.options.onOwnerChange(node, 'removed', 'store');
  }

  private take(object: StoredObject<OwnerRecord>): void {
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
      // What was known of the node holds.
      return;
    }
    if (this.returned.verifyIfRestored(object)) {
      return;
    }
    if (hasLeft(object)) {
      this.noteLeft(object.name);
    } else {
      this.putOwner(object);
    }
  }

  private putOwner({ name, spec }: StoredObject<OwnerRecord>): void {
    this.missing.remove(name);
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

/** True for the last record of a node that has left for good, also as what was there when it went. */
function hasLeft({ spec }: StoredObject<OwnerRecord>): boolean {
  return isOwnerRecord(spec) && spec.hasLeft === true;
}
