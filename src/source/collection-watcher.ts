/**
 * Follows one kind of stored object: lists it once, then watches it. If the
 * store no longer has the history after a revision (HTTP status 410), the watcher lists
 * again. Failed calls are retried with a jittered backoff, so that many nodes
 * that reconnect at the same time do not overload the store.
 */
import { monotonicClock } from '../model/clock.js';
import {
  type ObjectStore,
  ReadConsistency,
  type StoredObject,
  type StoreError,
} from './object-store.js';

/** Receives the results of a watcher's calls, in order. */
export interface CollectionHandler<Spec> {
  /** All objects of the kind at this revision of the store. */
  onList(objects: readonly StoredObject<Spec>[], revision: number): void;
  /** One of the changes that led to this revision of the store. */
  onChange(object: StoredObject<Spec>, gone: boolean, revision: number): void;
  /**
   * Called with the first result, and when the store starts or stops answering. `detail` is the
   * operation that was answered, or the failure; `cause` is a free-text description of the failure.
   */
  onConnected(connected: boolean, detail: string, cause?: string): void;
  /**
   * Called for each successful response of the store, before the objects or changes in it are
   * passed on. Also called for a first list, which may be stale.
   */
  onUpToDate?(): void;
}

/** Settings of a watcher; all times are in milliseconds. */
export interface WatchTiming {
  /**
   * Name of the only object of the kind, if there is just one. A watch returns every version
   * between two revisions, each in full, so a watcher that has fallen behind reads only the newest
   * version.
   */
  readonly singletonName?: string;
  /** Longest time for which the store holds one watch open. */
  readonly waitMs: number;
  /** Pause after a watch that returned changes, so that the next one returns several at once. */
  readonly debounceMs: () => number;
}

const FIRST_BACKOFF_MS = 150;
/**
 * With a jitter of up to half, the longest pause is 1.5 s, so a store that is back is called again
 * within that time.
 */
const LONGEST_BACKOFF_MS = 1_000;
const BACKOFF_FACTOR = 2;

/** The error for a list that is older than an earlier response. */
function outdatedListError(revision: number, newest: number): StoreError {
  const detail = `the list is outdated: its revision is ${revision}, an earlier one was ${newest}`;
  return { ok: false, failure: 'unavailable', detail };
}

/** Follows one kind of object until stopped. */
export class CollectionWatcher<Spec> {
  /** The revision to watch from; undefined if the watcher has to list first. */
  private revision: number | undefined;
  /** Newest revision of any response; a list with a lower one is outdated. */
  private newestRevision = 0;
  private stopped = false;
  /** Undefined before the first result, so that the first one is always passed to the handler. */
  private connected: boolean | undefined;
  private backoffMs = FIRST_BACKOFF_MS;
  /** Revision of the newest version received of the only object. */
  private singletonRevision = 0;
  /**
   * True from a watch that returned several versions of the only object until a read that finds no
   * newer version.
   */
  private isBehind = false;
  /**
   * True from a strongly consistent list until a watch succeeds. If the history is gone right after
   * such a list, listing again would not help, and lists and watches would alternate without a
   * pause.
   */
  private isListFresh = false;
  /**
   * True while the only response so far is a list that may be stale. That list may date from before
   * the store was restored from a copy, and its revision may no longer exist in the store.
   */
  private isListUnconfirmed = false;
  private endPause: () => void = () => {};
  private isRefreshing = false;

  constructor(
    private readonly store: ObjectStore,
    private readonly kind: string,
    private readonly handler: CollectionHandler<Spec>,
    private readonly timing: WatchTiming,
    private readonly random: () => number = Math.random,
  ) {}

  /** True if the last call was answered; a failed {@link refresh} does not count. */
  get isConnected(): boolean {
    return this.connected === true;
  }

  /** Runs until {@link stop}. */
  async run(): Promise<void> {
    while (!this.stopped) {
      const sentAt = monotonicClock.now();
      const failure = await this.readNext();
      if (failure?.failure === 'history-gone' && !this.isListFresh) {
        this.revision = undefined;
      } else if (failure) {
        this.setConnected(false, failure.failure, failure.detail);
        this.revision = failure.failure === 'history-gone' ? undefined : this.revision;
        await this.pause(this.nextBackoff(monotonicClock.now() - sentAt));
      }
    }
  }

  stop(): void {
    this.stopped = true;
    this.endPause();
  }

  /**
   * Lists at once, even while a watch is waiting, for example because another node has announced
   * something newer. Returns false if the list failed; true without a list if a refresh is in
   * progress or the watcher is stopped.
   */
  async refresh(): Promise<boolean> {
    if (this.isRefreshing || this.stopped) {
      return true;
    }
    this.isRefreshing = true;
    const failure = await this.list();
    this.isRefreshing = false;
    return failure === undefined;
  }

  private readNext(): Promise<StoreError | undefined> {
    if (this.revision === undefined) {
      return this.list();
    }
    const { singletonName } = this.timing;
    return this.isBehind && singletonName !== undefined
      ? this.readSingleton(singletonName)
      : this.watch();
  }

  private async list(): Promise<StoreError | undefined> {
    // The first list may be stale: the watch from its revision returns the changes since then.
    const reading =
      this.newestRevision === 0 ? ReadConsistency.BoundedStaleness : ReadConsistency.Strong;
    const result = await this.store.list<Spec>(this.kind, reading);
    if (this.stopped) {
      return undefined;
    }
    if (!result.ok) {
      return result;
    }
    if (result.value.revision < this.newestRevision) {
      if (!this.isListUnconfirmed) {
        return outdatedListError(result.value.revision, this.newestRevision);
      }
      this.singletonRevision = 0;
    }
    this.setConnected(true, 'list');
    this.revision = result.value.revision;
    this.newestRevision = result.value.revision;
    this.isListFresh = reading === ReadConsistency.Strong;
    this.isListUnconfirmed = reading === ReadConsistency.BoundedStaleness;
    for (const { revision } of result.value.items) {
      this.singletonRevision = Math.max(this.singletonRevision, revision);
    }
    this.handler.onList(result.value.items, result.value.revision);
    return undefined;
  }

  /**
   * Reads the newest version of the only object instead of watching. During a burst of changes, a
   * watch would return every version in full.
   */
  private async readSingleton(name: string): Promise<StoreError | undefined> {
    const result = await this.store.get<Spec>(this.kind, name);
    if (this.stopped) {
      return undefined;
    }
    if (!result.ok && result.failure !== 'not-found') {
      return result;
    }
    this.setConnected(true, 'get');
    if (!result.ok || result.value.revision <= this.singletonRevision) {
      this.isBehind = false;
      return undefined;
    }
    this.singletonRevision = result.value.revision;
    this.newestRevision = Math.max(this.newestRevision, this.singletonRevision);
    this.revision = this.newestRevision;
    this.handler.onChange(result.value, false, result.value.revision);
    await this.pause(this.timing.debounceMs());
    return undefined;
  }

  private async watch(): Promise<StoreError | undefined> {
    const from = this.revision ?? 0;
    const result = await this.store.watch<Spec>(this.kind, from, this.timing.waitMs);
    if (this.stopped) {
      return undefined;
    }
    if (!result.ok) {
      return result;
    }
    this.setConnected(true, 'watch');
    this.isListFresh = false;
    this.isListUnconfirmed = false;
    this.newestRevision = Math.max(this.newestRevision, result.value.revision);
    this.revision = this.newestRevision;
    const { events, revision } = result.value;
    const { singletonName } = this.timing;
    const last = events.findLastIndex(({ object }) => object.name === singletonName);
    this.isBehind = last > 0;
    events.forEach(({ object, gone }, index) => {
      // Skips versions of the only object that a later event replaces.
      if (object.name !== singletonName || index === last) {
        this.singletonRevision = Math.max(this.singletonRevision, object.revision);
        this.handler.onChange(object, gone, revision);
      }
    });
    if (events.length > 0) {
      await this.pause(this.timing.debounceMs());
    }
    return undefined;
  }

  private setConnected(connected: boolean, detail: string, cause?: string): void {
    if (connected) {
      this.backoffMs = FIRST_BACKOFF_MS;
      this.handler.onUpToDate?.();
    }
    if (connected !== this.connected) {
      this.connected = connected;
      this.handler.onConnected(connected, detail, cause);
    }
  }

  /**
   * Returns the pause before a retry. The duration of the failed call counts as part of the
   * backoff, because a call that timed out has already used up part of it.
   */
  private nextBackoff(tookMs: number): number {
    const current = Math.max(this.backoffMs - tookMs, FIRST_BACKOFF_MS);
    this.backoffMs = Math.min(this.backoffMs * BACKOFF_FACTOR, LONGEST_BACKOFF_MS);
    return current * (0.5 + this.random());
  }

  private pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, delayMs);
      this.endPause = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
