/** Updates the configuration in force: from the store or, if it does not answer, another node. */
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

/**
 * Longest time for which the store holds one watch open, in milliseconds. It can be long because a
 * store that is out of reach is detected by the relay (see `src/relay`).
 */
const WAIT_MS = 12_000;

/**
 * Share of the apply deadline for which a node waits for its own watch after another node has
 * announced a newer version. A working watch returns it sooner, so no list is sent in addition.
 */
const WATCH_GRACE_SHARE = 0.5;

/**
 * Share of the apply deadline for which the node then waits for a list before it asks the other
 * node. Both waits total 0.7 of the deadline: without the store, the version still arrives in time.
 */
const REFRESH_SHARE = 0.2;

/** Pause before the missing dependencies of a version are loaded again, in milliseconds. */
const DEPENDENCY_RETRY_MS = 500;

/** Most findings in one log line. */
const MAX_FINDINGS = 5;

/**
 * Share of the apply deadline after which the version in force may be stale if nothing has
 * confirmed it. If the node reads through a reader of its zone, the reader answers within 0.3 of
 * the deadline, and the reader's last contact with the store was at most 0.5 of the deadline
 * earlier.
 */
const CURRENT_SHARE = 0.8;

/** Share of the apply deadline by which the state in a reader's answer may be older than it. */
const READER_SHARE = 0.5;

/** The version that another node holds. */
export interface PeerVersion {
  readonly address: string;
  readonly version: number;
}

/** Dependencies and settings of a {@link ConfigurationFollower}. */
export interface ConfigurationFollowerOptions {
  readonly clock: Clock;
  readonly store: ObjectStore;
  /** Kind and name of the configuration object. */
  readonly kind: string;
  readonly name: string;
  /** Longest time from the acknowledgement of a version until it is in force, in milliseconds. */
  readonly applyDeadlineMs: number;
  /** Pause after a change, in milliseconds, so that quick changes are received together. */
  readonly debounceMs: () => number;
  /** Decodes a stored configuration. Undefined if it cannot be read. */
  readonly decode: (spec: unknown) => ConfigurationCandidate | undefined;
  /** Decodes a configuration from another node. Undefined if it cannot be read. */
  readonly decodeBytes: (bytes: Buffer) => ConfigurationCandidate | undefined;
  /** Requests the configuration of another node. Undefined if the node does not return one. */
  readonly fetchFromPeer: (address: string) => Promise<Buffer | undefined>;
  /** Requests some other nodes' versions, with a short timeout. Undefined without other nodes. */
  readonly fetchPeerVersions?: () => Promise<readonly PeerVersion[]>;
  /** Steady time of the last proof that the store is within reach, in milliseconds. */
  readonly storeReachableAt: () => number;
  readonly onConnected: CollectionHandler<unknown>['onConnected'];
  readonly onApplied: (routes: RouteMatcher, origin: string) => void;
  readonly onRejected: (version: number, origin: string, findings: readonly Finding[]) => void;
  /** Called when a version cannot come into force until its policies or secrets are loaded. */
  readonly onDependenciesMissing: (version: number, shortage: MissingDependencies) => void;
  /** Called when the stored configuration of this revision cannot be decoded. */
  readonly onUnreadable: (revision: number) => void;
  readonly dependencyLoader: DependencyLoader;
}

/** One per node. */
export class ConfigurationFollower {
  private readonly holder = new ConfigurationHolder();
  private readonly watcher: CollectionWatcher<unknown>;
  /** The announced version that is being fetched; 0 if none. */
  private fetchingVersion = 0;
  /** Newest version that any node has announced. */
  private newestAnnouncedVersion = 0;
  /** Steady time in milliseconds at which the version in force was last confirmed as newest. */
  private confirmedAt = Number.NEGATIVE_INFINITY;
  private isStopped = false;
  /** Newest version that lacked policies or secrets. */
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

  /** The routes in force. Undefined before the first configuration. */
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
   * True if a newer version may exist, with routes that the one in force lacks: another node has
   * announced one, or the version in force has not been confirmed for a while.
   */
  get mayBeStale(): boolean {
    return (
      this.newestAnnouncedVersion > this.version ||
      this.unconfirmedMs > this.options.applyDeadlineMs * CURRENT_SHARE
    );
  }

  /**
   * Longest time for which the version in force may not have been the store's newest, in
   * milliseconds. Infinite until the version has been confirmed once.
   */
  get maxStalenessMs(): number {
    return this.unconfirmedMs + this.options.applyDeadlineMs * READER_SHARE;
  }

  /** Milliseconds since the version in force was last confirmed as the newest. */
  private get unconfirmedMs(): number {
    const { clock, storeReachableAt } = this.options;
    // A store within reach confirms the version only while this node's watch works.
    const lastConfirmedAt = this.isConnected
      ? Math.max(this.confirmedAt, storeReachableAt())
      : this.confirmedAt;
    return clock.now() - lastConfirmedAt;
  }

  /** The configuration in force, encoded for another node. */
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

  /**
   * For a newer announced version, waits for this node's watch, then lists, then asks the
   * announcing node; asks that node at once if the store does not answer.
   */
  noteVersion(address: string, version: number): void {
    this.newestAnnouncedVersion = Math.max(this.newestAnnouncedVersion, version);
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
   * A store restored from a copy may list an older version than was acknowledged. A restarted node
   * holds no version and would apply the older one, so it asks other nodes first.
   */
  private async applyListed(candidate: ConfigurationCandidate): Promise<void> {
    if (!this.routes && (await this.applyNewerFromPeer(candidate.version))) {
      return;
    }
    if (!this.isStopped) {
      this.apply(candidate, 'store');
    }
  }

  /** True if another node's newer version is in force, or will be with its dependencies loaded. */
  private async applyNewerFromPeer(version: number): Promise<boolean> {
    const peerVersions = (await this.options.fetchPeerVersions?.()) ?? [];
    const [newest] = peerVersions.toSorted((left, right) => right.version - left.version);
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

  /** Loads dependencies and reapplies the version until in force, rejected, outdated or stopped. */
  private async loadAndApply(candidate: ConfigurationCandidate, origin: string): Promise<void> {
    const { dependencyLoader } = this.options;
    let hasLoaded = false;
    for (;;) {
      const result = this.holder.apply(candidate, dependencyLoader.dependencies);
      if (result.kind !== 'short') {
        this.reportResult(result, origin);
        return;
      }
      if (hasLoaded) {
        await delay(DEPENDENCY_RETRY_MS);
      }
      await dependencyLoader.load(result.shortage);
      hasLoaded = true;
      const isOutdated = candidate.version < this.newestIncompleteVersion;
      if (this.isStopped || isOutdated) {
        return;
      }
    }
  }
}
