/**
 * Keeps the configuration in force up to date: from the store, and from another
 * node when the store does not answer this one.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Clock } from '../model/clock.js';
import type { Finding } from '../model/finding.js';
import type { MissingDependencies } from '../routing/configurationDependencies.js';
import type { RouteMatcher } from '../routing/route-matcher.js';
import { type CollectionHandler, CollectionWatcher } from './collection-watcher.js';
import {
  type ApplyResult,
  type ConfigurationCandidate,
  ConfigurationHolder,
} from './configuration-holder.js';
import type { DependencyLoader } from './dependencyLoader.js';
import type { ObjectStore, StoredObject } from './object-store.js';

/** Longest wait of a watch, in milliseconds: a store that is out of reach is noticed otherwise. */
const WAIT_MS = 12_000;

/**
 * Part of the bound for which a node that hears of a newer version waits for its
 * own watch: longer than the watch settles, so that a watch that works is not
 * doubled by a list.
 */
const WATCH_GRACE_SHARE = 0.5;

/**
 * Part of the bound for which the store is then waited for, before the other node is asked: together
 * 0.7 of it, so that a store that is silent to this node does not cost it the version.
 */
const REFRESH_SHARE = 0.2;

/** Pause before what a version lacks is looked for again, in milliseconds. */
const SHORT_RETRY_MS = 500;

/** Findings that one log line names. */
const MAX_FINDINGS = 5;

/**
 * Part of the bound after which a node that has heard nothing may be behind: a follower's reader
 * answers after 0.3 of it at the latest, and speaks for a store that it reached 0.5 ago.
 */
const CURRENT_SHARE = 0.8;

/** Part of the bound for which the word of a follower's reader may be older than its answer. */
const READER_SHARE = 0.5;

/** The version that another node holds. */
export interface PeerVersion {
  readonly address: string;
  readonly version: number;
}

/** What the follower needs of its node. */
export interface ConfigurationFollowerOptions {
  readonly clock: Clock;
  readonly store: ObjectStore;
  /** Kind and name of the configuration object. */
  readonly kind: string;
  readonly name: string;
  /** Longest time, in milliseconds, from a version's acknowledgement until it is in force. */
  readonly applyDeadlineMs: number;
  /** Milliseconds within which changes that come together are taken together. */
  readonly debounceMs: () => number;
  /** Translates a stored configuration; undefined when it cannot be read. */
  readonly decode: (spec: unknown) => ConfigurationCandidate | undefined;
  readonly decodeBytes: (bytes: Buffer) => ConfigurationCandidate | undefined;
  /** Asks another node for its configuration. */
  readonly fetchFromPeer: (address: string) => Promise<Buffer | undefined>;
  /** Asks some other nodes which versions they hold, for a moment; left out where there are none to ask. */
  readonly fetchPeerVersions?: () => Promise<readonly PeerVersion[]>;
  /** Steady time in milliseconds at which the store was last shown to be within reach. */
  readonly storeReachableAt: () => number;
  readonly onConnected: CollectionHandler<unknown>['onConnected'];
  readonly onApplied: (routes: RouteMatcher, origin: string) => void;
  readonly onRejected: (version: number, origin: string, findings: readonly Finding[]) => void;
  /** A version waits for policies or secrets. */
  readonly onDependenciesMissing: (version: number, shortage: MissingDependencies) => void;
  readonly onUnreadable: (revision: number) => void;
  readonly dependencyLoader: DependencyLoader;
}

/** One per node. */
export class ConfigurationFollower {
  private readonly holder = new ConfigurationHolder();
  private readonly watcher: CollectionWatcher<unknown>;
  private fetchingVersion = 0;
  /** Newest version that any node has spoken of. */
  private newestKnownVersion = 0;
  /** Steady time in milliseconds at which the version held was the newest. */
  private confirmedAt = Number.NEGATIVE_INFINITY;
  private isStopped = false;

  /** Newest version that was found short. */
  private newestIncompleteVersion = 0;

  constructor(private readonly options: ConfigurationFollowerOptions) {
    this.watcher = new CollectionWatcher<unknown>(
      options.store,
      options.kind,
      {
        onList: (objects) => {
          for (const object of objects) {
            const candidate = this.read(object);
            if (candidate) {
              void this.applyListed(candidate);
            }
          }
        },
        onChange: (object, gone) => {
          const candidate = gone ? undefined : this.read(object);
          if (candidate) {
            this.apply(candidate, 'store');
          }
        },
        onConnected: options.onConnected,
        onUpToDate: () => {
          this.confirmedAt = options.clock.now();
        },
      },
      { singletonName: options.name, waitMs: WAIT_MS, debounceMs: options.debounceMs },
    );
  }

  /** The routes in force, or undefined before the first configuration. */
  get routes(): RouteMatcher | undefined {
    return this.holder.routes;
  }

  get version(): number {
    return this.holder.version;
  }

  get isConnected(): boolean {
    return this.watcher.isConnected;
  }

  /**
   * True when there may be a newer version that this node does not hold yet: another node has spoken
   * of it, or nothing was heard for a while. Then the lack of a route proves nothing.
   */
  get mayBeStale(): boolean {
    return (
      this.newestKnownVersion > this.version ||
      this.unconfirmedMs > this.options.applyDeadlineMs * CURRENT_SHARE
    );
  }

  /** Milliseconds for which the version held may not have been the store's newest; infinite at first. */
  get maxStalenessMs(): number {
    return this.unconfirmedMs + this.options.applyDeadlineMs * READER_SHARE;
  }

  /** Milliseconds since it was last heard that the version held is the newest. */
  private get unconfirmedMs(): number {
    const { clock, storeReachableAt } = this.options;
    // A store within reach says nothing of the version held while this node's watch of it does not stand.
    const heardAt = this.isConnected
      ? Math.max(this.confirmedAt, storeReachableAt())
      : this.confirmedAt;
    return clock.now() - heardAt;
  }

  /** The configuration in force as bytes for another node. */
  bytes(): Buffer | undefined {
    return this.holder.bytes();
  }

  start(): void {
    void this.watcher.run();
  }

  stop(): void {
    this.isStopped = true;
    this.watcher.stop();
  }

  /** Another node holds this version: if it is newer, the store is asked first, that node soon after. */
  noteVersion(address: string, version: number): void {
    this.newestKnownVersion = Math.max(this.newestKnownVersion, version);
    if (version > this.version && version > this.fetchingVersion) {
      this.fetchingVersion = version;
      void this.fetch(address, version).finally(() => {
        this.fetchingVersion = 0;
      });
    }
  }

  private async fetch(address: string, version: number): Promise<void> {
    if (this.routes && this.isConnected) {
      await delay(this.options.applyDeadlineMs * WATCH_GRACE_SHARE);
    }
    if (this.version >= version || this.isStopped) {
      return;
    }
    if (this.isConnected) {
      await Promise.race([
        this.watcher.refresh(),
        delay(this.options.applyDeadlineMs * REFRESH_SHARE, undefined, { ref: false }),
      ]);
    }
    if (this.version >= version || this.isStopped) {
      return;
    }
    const bytes = await this.options.fetchFromPeer(address);
    const candidate = bytes && this.options.decodeBytes(bytes);
    if (candidate) {
      this.apply(candidate, address);
    }
  }

  private read(object: StoredObject<unknown>): ConfigurationCandidate | undefined {
    if (object.name !== this.options.name) {
      return undefined;
    }
    const candidate = this.options.decode(object.spec);
    if (!candidate) {
      this.options.onUnreadable(object.revision);
    }
    return candidate;
  }

  /**
   * A store that has come back from a copy may list an older version than was acknowledged. A node that holds
   * none yet would take it, and so go back by its restart: it asks others first.
   */
  private async applyListed(candidate: ConfigurationCandidate): Promise<void> {
    if (!this.routes && (await this.applyNewerFromPeer(candidate.version))) {
      return;
    }
    if (!this.isStopped) {
      this.apply(candidate, 'store');
    }
  }

  /** True if another node holds a newer version, and that is used. */
  private async applyNewerFromPeer(version: number): Promise<boolean> {
    const held = (await this.options.fetchPeerVersions?.()) ?? [];
    const [newest] = held.toSorted((left, right) => right.version - left.version);
    if (!newest || newest.version <= version) {
      return false;
    }
    const bytes = await this.options.fetchFromPeer(newest.address);
    const candidate = bytes && this.options.decodeBytes(bytes);
    const kind = candidate && !this.isStopped && this.apply(candidate, newest.address);
    return kind === 'in-force' || kind === 'short';
  }

  private apply(candidate: ConfigurationCandidate, origin: string): ApplyResult['kind'] {
    const result = this.holder.apply(candidate, this.options.dependencyLoader.dependencies);
    this.reportResult(result, origin);
    if (result.kind === 'short' && result.version > this.newestIncompleteVersion) {
      this.newestIncompleteVersion = result.version;
      this.options.onDependenciesMissing(result.version, result.shortage);
      void this.loadAndApply(candidate, origin);
    }
    return result.kind;
  }

  private reportResult(result: ApplyResult, origin: string): void {
    if (result.kind === 'in-force' && this.holder.routes) {
      this.options.onApplied(this.holder.routes, origin);
    } else if (result.kind === 'held-off') {
      this.options.onRejected(result.version, origin, result.findings.slice(0, MAX_FINDINGS));
    }
  }

  /** Fetches what a version lacks and offers it again, until it is in force or out of date. */
  private async loadAndApply(candidate: ConfigurationCandidate, origin: string): Promise<void> {
    const { dependencyLoader } = this.options;
    let isFetched = false;
    for (;;) {
      const result = this.holder.apply(candidate, dependencyLoader.dependencies);
      if (result.kind !== 'short') {
        this.reportResult(result, origin);
        return;
      }
      if (isFetched) {
        await delay(SHORT_RETRY_MS);
      }
      await dependencyLoader.load(result.shortage);
      isFetched = true;
      const isOutdated = candidate.version < this.newestIncompleteVersion;
      if (this.isStopped || isOutdated) {
        return;
      }
    }
  }
}
