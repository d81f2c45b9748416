/**
 * List, then watch: follows one kind of object. Lost history (410) leads to a
 * new list; failures lead to jittered back-off, so that a herd of nodes does not
 * storm the store.
 */
import { monotonicClock } from '../model/clock.js';
import {
  type ObjectStore,
  ReadConsistency,
  type StoredObject,
  type StoreError,
} from './object-store.js';

/** Receives what a watcher learns, in order. */
export interface CollectionHandler<Spec> {
  /** Everything that there is at this revision of the store. */
  onList(objects: readonly StoredObject<Spec>[], revision: number): void;
  /** One change among those up to this revision of the store. */
  onChange(object: StoredObject<Spec>, gone: boolean, revision: number): void;
  /**
   * Called when the store begins or ceases to answer. `detail` is the call that was answered, or the
   * failure; `cause` says in words what was seen of that.
   */
  onConnected(connected: boolean, detail: string, cause?: string): void;
  /** What was given so far is all that there is now. */
  onUpToDate?(): void;
}

/** What is followed, and its time limits in milliseconds. */
export interface WatchTiming {
  /**
   * Name of the only object of the kind, if it has just one. A watch gives every step between two
   * versions, each whole; who has fallen behind reads the newest version alone instead.
   */
  readonly singletonName?: string;
  /** Longest wait of one watch. */
  readonly waitMs: number;
  /** Pause after a watch that brought changes, so that quick changes come together. */
  readonly debounceMs: () => number;
}

const FIRST_BACKOFF_MS = 150;
/** With its jitter of a half, a store that is back is found within 1.5 s. */
const LONGEST_BACKOFF_MS = 1_000;
const BACKOFF_FACTOR = 2;

/** A list that is older than what has been seen. */
function lagging(revision: number, newest: number): StoreError {
  const detail = `the list lags: it is of revision ${revision}, after ${newest}`;
  return { ok: false, failure: 'unavailable', detail };
}

/** Follows one kind until stopped. */
export class CollectionWatcher<Spec> {
  private revision: number | undefined;
  /** Newest revision of any answer: an answer from before it lags behind. */
  private newest = 0;
  private stopped = false;
  /** Undefined before the first answer, or the first failure: either is told. */
  private connected: boolean | undefined;
  private backoffMs = FIRST_BACKOFF_MS;
  /** Revision of the newest version of the only object. */
  private singletonRevision = 0;
  /** True from a watch that brought several versions of it until a read that finds no newer one. */
  private isBehind = false;
  /**
   * True from a list of now until a watch is answered: a history that is gone already then would be
   * gone again, and lists and watches would follow one another without a pause.
   */
  private isListFresh = false;
  /**
   * True while all that is known comes from a list that may lag: that may be of before the store came back from
   * a copy, and then of a revision that it doesn't have any more.
   */
  private isListUnconfirmed = false;
  private wake: () => void = () => {};
  private refreshWanted = false;

  constructor(
    private readonly store: ObjectStore,
    private readonly kind: string,
    private readonly handler: CollectionHandler<Spec>,
    private readonly timing: WatchTiming,
    private readonly random: () => number = Math.random,
  ) {}

  /** True while the last call to the store was answered. */
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
        this.note(false, failure.failure, failure.detail);
        this.revision = failure.failure === 'history-gone' ? undefined : this.revision;
        await this.pause(this.nextBackoff(monotonicClock.now() - sentAt));
      }
    }
  }

  stop(): void {
    this.stopped = true;
    this.wake();
  }

  /** Lists anew at once, beside a watch that waits: something newer is known to exist. */
  async refresh(): Promise<boolean> {
    if (this.refreshWanted || this.stopped) {
      return true;
    }
    this.refreshWanted = true;
    const failure = await this.list();
    this.refreshWanted = false;
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
    // The first list may lag: the watch from its revision brings what came since.
    const reading = this.newest === 0 ? ReadConsistency.BoundedStaleness : ReadConsistency.Strong;
    const result = await this.store.list<Spec>(this.kind, reading);
    if (this.stopped) {
      return undefined;
    }
    if (!result.ok) {
      return result;
    }
    if (result.value.revision < this.newest) {
      if (!this.isListUnconfirmed) {
        return lagging(result.value.revision, this.newest);
      }
      this.singletonRevision = 0;
    }
    this.note(true, 'list');
    this.revision = result.value.revision;
    this.newest = result.value.revision;
    this.isListFresh = reading === ReadConsistency.Strong;
    this.isListUnconfirmed = reading === ReadConsistency.BoundedStaleness;
    for (const { revision } of result.value.items) {
      this.singletonRevision = Math.max(this.singletonRevision, revision);
    }
    this.handler.onList(result.value.items, result.value.revision);
    return undefined;
  }

  /** One read in place of all the steps since: in a storm each of them would come whole. */
  private async readSingleton(name: string): Promise<StoreError | undefined> {
    const result = await this.store.get<Spec>(this.kind, name);
    if (this.stopped) {
      return undefined;
    }
    if (!result.ok && result.failure !== 'not-found') {
      return result;
    }
    this.note(true, 'get');
    if (!result.ok || result.value.revision <= this.singletonRevision) {
      this.isBehind = false;
      return undefined;
    }
    this.singletonRevision = result.value.revision;
    this.newest = Math.max(this.newest, this.singletonRevision);
    this.revision = this.newest;
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
    this.note(true, 'watch');
    this.isListFresh = false;
    this.isListUnconfirmed = false;
    this.newest = Math.max(this.newest, result.value.revision);
    this.revision = this.newest;
    const { events, revision } = result.value;
    const { singletonName } = this.timing;
    const last = events.findLastIndex(({ object }) => object.name === singletonName);
    this.isBehind = last > 0;
    events.forEach(({ object, gone }, index) => {
      // Steps that are out of date already are not worth being taken one by one.
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

  private note(connected: boolean, detail: string, cause?: string): void {
    if (connected) {
      this.backoffMs = FIRST_BACKOFF_MS;
      this.handler.onUpToDate?.();
    }
    if (connected !== this.connected) {
      this.connected = connected;
      this.handler.onConnected(connected, detail, cause);
    }
  }

  /** The time that the failed call took counts: what was met with silence has waited already. */
  private nextBackoff(tookMs: number): number {
    const current = Math.max(this.backoffMs - tookMs, FIRST_BACKOFF_MS);
    this.backoffMs = Math.min(this.backoffMs * BACKOFF_FACTOR, LONGEST_BACKOFF_MS);
    return current * (0.5 + this.random());
  }

  private pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, delayMs);
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
