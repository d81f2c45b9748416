/**
 * The interface of the object store: objects by kind and name, conditional
 * writes, and watches. Implementations only translate calls to a store's
 * protocol.
 */

/**
 * One stored object. The revision grows with every change of the store, even after the store has
 * been restored from a copy and its own revisions have gone back: see `storeRevision.ts`.
 */
export interface StoredObject<Spec> {
  readonly name: string;
  readonly revision: number;
  readonly spec: Spec;
  /** The system's status of an object that operators write. Undefined if there is none. */
  readonly status?: unknown;
  /**
   * Identifies one creation of the object: if the object is deleted and created again, this number
   * changes. Set only for kinds with a status.
   */
  readonly made?: number;
}

/** All objects of a kind, and the store's revision at the time of the list. */
export interface StoreListing<Spec> {
  readonly items: readonly StoredObject<Spec>[];
  readonly revision: number;
}

/** One change of an object. */
export interface StoreEvent<Spec> {
  readonly object: StoredObject<Spec>;
  /** True if the object was deleted. */
  readonly gone: boolean;
}

/** Changes since a revision, and the revision to watch from next. */
export interface StoreChanges<Spec> {
  readonly events: readonly StoreEvent<Spec>[];
  readonly revision: number;
}

/**
 * Why a call failed. After `unknown` the store may have executed the call, or may
 * still do so. After `throttled` and `unavailable` the store has changed nothing.
 */
export type StoreFailure =
  | 'conflict'
  | 'not-found'
  | 'history-gone'
  | 'throttled'
  | 'unavailable'
  | 'rejected'
  | 'unknown';

/** A call that failed, with a free-text description for logs. */
export interface StoreError {
  readonly ok: false;
  readonly failure: StoreFailure;
  readonly detail: string;
}

export type StoreResult<Value> = { readonly ok: true; readonly value: Value } | StoreError;

/** A request for the changes of a kind after a revision, or for all objects of the kind. */
export interface StoreQuery {
  readonly kind: string;
  /** Undefined for a list. */
  readonly revision: number | undefined;
  /**
   * Revision of an object that the requester holds, if any. The answer may send a later version of
   * the object as the difference from that revision.
   */
  readonly base?: number | undefined;
  /** Longest time that the answer may wait for a change, in milliseconds. */
  readonly waitMs: number;
}

/** How old the result of a read may be. */
export enum ReadConsistency {
  /** The result includes all changes acknowledged before the read. */
  Strong = 'now',
  /**
   * The result may be some seconds old, which costs the store little. A watch from its revision
   * returns the later changes.
   */
  BoundedStaleness = 'lately',
}

/** An object store. The promises that its calls return never reject. */
export interface ObjectStore {
  /**
   * Set by the caller; receives the size of each response in bytes, and the kind that it is about.
   */
  onReceived?: (kind: string, bytes: number) => void;
  /** Set by the caller; called for each object that cannot be read. The others are returned. */
  onUnreadable?: (kind: string, reason: string) => void;
  /** Set by the caller; called with the store's era when first reported and on each increase. */
  onEra?: (era: number) => void;
  list<Spec>(kind: string, reading: ReadConsistency): Promise<StoreResult<StoreListing<Spec>>>;
  /** Reads the current version of one object. */
  get<Spec>(kind: string, name: string): Promise<StoreResult<StoredObject<Spec>>>;
  /** Waits up to `waitMs` milliseconds for changes after a revision. An aborted watch fails. */
  watch<Spec>(
    kind: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoreResult<StoreChanges<Spec>>>;
  create<Spec>(kind: string, name: string, spec: Spec): Promise<StoreResult<StoredObject<Spec>>>;
  /** Replaces an object if it still has the given revision. */
  replace<Spec>(kind: string, object: StoredObject<Spec>): Promise<StoreResult<StoredObject<Spec>>>;
  /** Replaces only the status of an object, if the object still has the given revision. */
  replaceStatus<Spec>(
    kind: string,
    object: Pick<StoredObject<unknown>, 'name' | 'revision'>,
    status: unknown,
  ): Promise<StoreResult<StoredObject<Spec>>>;
  /** Deletes an object if it still has the given revision. */
  remove(kind: string, name: string, revision: number): Promise<StoreResult<undefined>>;
  /**
   * The cheapest call that shows whether the store is within reach. Returns a recent revision of
   * the store as a whole, for objects of all kinds. It may be slightly behind the newest one.
   */
  probe(kind: string): Promise<StoreResult<number>>;
  /**
   * Closes idle connections, after another connection stopped answering: they may be dead as well.
   */
  closeIdle(): void;
  close(): void;
}
