/**
 * What the mesh needs of an object store: objects by kind and name, conditional
 * writes, and watches. Implementations translate; they decide nothing.
 */

/**
 * One stored object. The revision grows with every change of the store, also when that has come back from a
 * copy and counts from an earlier one on: see `storeRevision.ts`.
 */
export interface StoredObject<Spec> {
  readonly name: string;
  readonly revision: number;
  readonly spec: Spec;
  /** What the system says of an object that operators write; left out where there is none. */
  readonly status?: unknown;
  /**
   * The same for as long as the object exists: one that is deleted and made again has another. Told for
   * kinds with a status only.
   */
  readonly made?: number;
}

/** All objects of a kind and the store's revision at that moment. */
export interface StoreListing<Spec> {
  readonly items: readonly StoredObject<Spec>[];
  readonly revision: number;
}

/** One change. */
export interface StoreEvent<Spec> {
  readonly object: StoredObject<Spec>;
  readonly gone: boolean;
}

/** Changes since a revision, and the revision to go on from. */
export interface StoreChanges<Spec> {
  readonly events: readonly StoreEvent<Spec>[];
  readonly revision: number;
}

/**
 * Why a call failed. `unknown`: it may have been carried out, or may still be.
 * `throttled` and `unavailable`: nothing was done.
 */
export type StoreFailure =
  | 'conflict'
  | 'not-found'
  | 'history-gone'
  | 'throttled'
  | 'unavailable'
  | 'rejected'
  | 'unknown';

/** A call that failed, and in words what was seen of that. */
export interface StoreError {
  readonly ok: false;
  readonly failure: StoreFailure;
  readonly detail: string;
}

export type StoreResult<Value> = { readonly ok: true; readonly value: Value } | StoreError;

/** A question for the changes of a kind after a revision, or for all its objects. */
export interface StoreQuery {
  readonly kind: string;
  /** Left out for a list. */
  readonly revision: number | undefined;
  /**
   * Revision of an object that the asker holds, if any: a later version of the object may be told
   * as what differs from that.
   */
  readonly base?: number | undefined;
  /** Milliseconds that the answer may wait for a change. */
  readonly waitMs: number;
}

/** How old an answer may be. */
export enum ReadConsistency {
  /** As of now. */
  Strong = 'now',
  /** It may be some seconds old, which costs the store little: a watch from there brings the rest. */
  BoundedStaleness = 'lately',
}

/** Calls never reject. */
export interface ObjectStore {
  /** Set by its user: hears the size in bytes of each answer, with the kind of object it is about. */
  onReceived?: (kind: string, bytes: number) => void;
  /** Set by its user: hears of an entry of a kind that cannot be read; the others are given all the same. */
  onUnreadable?: (kind: string, reason: string) => void;
  /** Set by its user: hears the store's era with the first answer that tells it, and each time that it rises. */
  onEra?: (era: number) => void;
  list<Spec>(kind: string, reading: ReadConsistency): Promise<StoreResult<StoreListing<Spec>>>;
  /** One object as it is now. */
  get<Spec>(kind: string, name: string): Promise<StoreResult<StoredObject<Spec>>>;
  /** Waits up to `waitMs` for changes after a revision; a watch that is aborted fails. */
  watch<Spec>(
    kind: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoreResult<StoreChanges<Spec>>>;
  create<Spec>(kind: string, name: string, spec: Spec): Promise<StoreResult<StoredObject<Spec>>>;
  /** Replaces an object if its revision is still the given one. */
  replace<Spec>(kind: string, object: StoredObject<Spec>): Promise<StoreResult<StoredObject<Spec>>>;
  /** Replaces the status alone, if the object's revision is still the given one. */
  replaceStatus<Spec>(
    kind: string,
    object: Pick<StoredObject<unknown>, 'name' | 'revision'>,
    status: unknown,
  ): Promise<StoreResult<StoredObject<Spec>>>;
  /** Deletes an object if its revision is still the given one. */
  remove(kind: string, name: string, revision: number): Promise<StoreResult<undefined>>;
  /**
   * The cheapest call that shows whether the store is within reach. Gives the store's revision as it
   * was lately: no object of any kind has changed later than that unless something newer exists.
   */
  probe(kind: string): Promise<StoreResult<number>>;
  /** Closes the connections that rest: one like them was found silent, and they may be as well. */
  closeIdle(): void;
  close(): void;
}
