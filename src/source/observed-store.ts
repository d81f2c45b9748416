/** An object store that reports the operation, result and duration of each call to an observer. */
import {
  type ObjectStore,
  ReadConsistency,
  type StoreChanges,
  type StoredObject,
  type StoreListing,
  type StoreResult,
} from './object-store.js';

/** Called after each call. `result` is `ok` or the failure. */
export type StoreObserver = (operation: string, result: string, durationMs: number) => void;

/** Passes each call on to the given store. */
export class ObservedStore implements ObjectStore {
  constructor(
    private readonly store: ObjectStore,
    private readonly now: () => number,
    private readonly observer: StoreObserver,
  ) {}

  list<Spec>(kind: string, reading: ReadConsistency): Promise<StoreResult<StoreListing<Spec>>> {
    const operation = reading === ReadConsistency.BoundedStaleness ? 'list-lately' : 'list';
    return this.observe(operation, this.store.list<Spec>(kind, reading));
  }

  get<Spec>(kind: string, name: string): Promise<StoreResult<StoredObject<Spec>>> {
    return this.observe('get', this.store.get<Spec>(kind, name));
  }

  watch<Spec>(
    kind: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoreResult<StoreChanges<Spec>>> {
    return this.observe('watch', this.store.watch<Spec>(kind, revision, waitMs, signal));
  }

  create<Spec>(kind: string, name: string, spec: Spec): Promise<StoreResult<StoredObject<Spec>>> {
    return this.observe('create', this.store.create(kind, name, spec));
  }

  replace<Spec>(
    kind: string,
    object: StoredObject<Spec>,
  ): Promise<StoreResult<StoredObject<Spec>>> {
    return this.observe('replace', this.store.replace(kind, object));
  }

  replaceStatus<Spec>(
    kind: string,
    object: Pick<StoredObject<unknown>, 'name' | 'revision'>,
    status: unknown,
  ): Promise<StoreResult<StoredObject<Spec>>> {
    return this.observe('status', this.store.replaceStatus(kind, object, status));
  }

  remove(kind: string, name: string, revision: number): Promise<StoreResult<undefined>> {
    return this.observe('remove', this.store.remove(kind, name, revision));
  }

  probe(kind: string): Promise<StoreResult<number>> {
    return this.observe('probe', this.store.probe(kind));
  }

  closeIdle(): void {
    this.store.closeIdle();
  }

  close(): void {
    this.store.close();
  }

  private async observe<Value>(
    operation: string,
    call: Promise<StoreResult<Value>>,
  ): Promise<StoreResult<Value>> {
    const startedAt = this.now();
    const result = await call;
    this.observer(operation, result.ok ? 'ok' : result.failure, this.now() - startedAt);
    return result;
  }
}
