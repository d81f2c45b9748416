/** An object store in memory with the faults that a real one shows, for tests. */
import { ROLLOUT_KIND } from '../platform/rollouts.js';
import {
  type ObjectStore,
  Reading,
  type StoreChanges,
  type StoredObject,
  type StoreEvent,
  type StoreFailure,
  type StoreListing,
  type StoreResult,
} from '../src/source/object-store.js';

const MILLISECONDS_PER_SECOND = 1_000;

interface LoggedChange extends StoreEvent<unknown> {
  readonly kind: string;
  readonly revision: number;
}

/** The store itself; each node gets a {@link StoreView} of its own. */
export class MemoryStore {
  readonly objects = new Map<string, Map<string, StoredObject<unknown>>>();
  readonly log: LoggedChange[] = [];
  revision = 0;
  /** Changes at or below this revision are forgotten. */
  forgotten = 0;
  private readonly listeners = new Set<() => void>();

  /** Writes an object without conditions, as an operator does. */
  put(kind: string, name: string, spec: unknown): StoredObject<unknown> {
    const revision = this.revision + 1;
    const known = this.kind(kind).get(name);
    const rest =
      kind === ROLLOUT_KIND ? { status: known?.status, made: known?.made ?? revision } : {};
    const object = { name, revision, spec: structuredClone(spec), ...rest };
    this.kind(kind).set(name, object);
    this.record(kind, object, false);
    return object;
  }

  /** Replaces the status of an object that is there. */
  putStatus(kind: string, name: string, status: unknown): StoredObject<unknown> {
    const known = this.kind(kind).get(name) as StoredObject<unknown>;
    const object = { ...known, revision: this.revision + 1, status: structuredClone(status) };
    this.kind(kind).set(name, object);
    this.record(kind, object, false);
    return object;
  }

  delete(kind: string, name: string): void {
    const object = this.kind(kind).get(name);
    if (object) {
      this.kind(kind).delete(name);
      this.record(kind, object, true);
    }
  }

  /** Forgets the history of changes: a watch from before ends with `history-gone`. */
  compact(): void {
    this.forgotten = this.revision;
    this.wake();
  }

  kind(kind: string): Map<string, StoredObject<unknown>> {
    const objects = this.objects.get(kind) ?? new Map<string, StoredObject<unknown>>();
    this.objects.set(kind, objects);
    return objects;
  }

  /** The objects of a kind as they are, or as they were at an earlier revision. */
  objectsAt(kind: string, revision: number | undefined): StoredObject<unknown>[] {
    if (revision === undefined) {
      return [...this.kind(kind).values()];
    }
    const objects = new Map<string, StoredObject<unknown>>();
    for (const change of this.log.filter((each) => each.kind === kind)) {
      if (change.revision > revision) {
        break;
      }
      if (change.gone) {
        objects.delete(change.object.name);
      } else {
        objects.set(change.object.name, change.object);
      }
    }
    return [...objects.values()];
  }

  /** Resolves at the next change, after `waitMs`, or when the signal aborts. */
  nextChange(waitMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', done);
        this.listeners.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      signal?.addEventListener('abort', done);
      this.listeners.add(done);
    });
  }

  /** Wakes every watch. */
  wake(): void {
    for (const listener of [...this.listeners]) {
      listener();
    }
  }

  private record(kind: string, object: StoredObject<unknown>, gone: boolean): void {
    this.revision += 1;
    this.log.push({ kind, object, gone, revision: this.revision });
    this.wake();
  }
}

/** One node's way to the store. */
export class StoreView implements ObjectStore {
  /** Answers every call with this failure while it is set. */
  failure: StoreFailure | undefined;
  /** Loses the answers of this many writes that are carried out. */
  answersToLose = 0;
  /** Answers this many writes with `unknown` and carries them out {@link lateMs} later. */
  writesToDelay = 0;
  /** Milliseconds by which a delayed write is late; its condition is checked then. */
  lateMs = 200;
  /** Lists are answered as they were at this revision while it is set. */
  listsAsOf: number | undefined;
  /** Lists that may lag are answered as they were at this revision while it is set. */
  latelyAsOf: number | undefined;
  /** Calls in one second, above which the store answers `throttled`. */
  callsPerSecond = Number.POSITIVE_INFINITY;
  calls = 0;
  /** Probes, which cost little. */
  probes = 0;
  private readonly callTimes: number[] = [];

  constructor(private readonly store: MemoryStore) {}

  list<Spec>(kind: string, reading = Reading.Now): Promise<StoreResult<StoreListing<Spec>>> {
    const asOf = this.listsAsOf ?? (reading === Reading.Lately ? this.latelyAsOf : undefined);
    return this.answer(() => ({
      ok: true,
      value: {
        items: this.store.objectsAt(kind, asOf) as StoredObject<Spec>[],
        revision: asOf ?? this.store.revision,
      },
    }));
  }

  get<Spec>(kind: string, name: string): Promise<StoreResult<StoredObject<Spec>>> {
    return this.answer(() => {
      const object = this.store.kind(kind).get(name);
      return object ? { ok: true, value: object as StoredObject<Spec> } : failed('not-found');
    });
  }

  async watch<Spec>(
    kind: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoreResult<StoreChanges<Spec>>> {
    const until = performance.now() + waitMs;
    const changes = () =>
      this.store.log.filter((change) => change.kind === kind && change.revision > revision);
    while (
      !this.failure &&
      !signal?.aborted &&
      this.store.forgotten <= revision &&
      changes().length === 0 &&
      performance.now() < until
    ) {
      await this.store.nextChange(until - performance.now(), signal);
    }
    if (signal?.aborted) {
      return failed('unknown');
    }
    return this.answer(() =>
      this.store.forgotten > revision
        ? failed('history-gone')
        : {
            ok: true,
            value: {
              events: changes() as unknown as StoreEvent<Spec>[],
              revision: this.store.revision,
            },
          },
    );
  }

  create<Spec>(kind: string, name: string, spec: Spec): Promise<StoreResult<StoredObject<Spec>>> {
    return this.write(() =>
      this.store.kind(kind).has(name)
        ? failed('conflict')
        : { ok: true, value: this.store.put(kind, name, spec) as StoredObject<Spec> },
    );
  }

  replace<Spec>(
    kind: string,
    object: StoredObject<Spec>,
  ): Promise<StoreResult<StoredObject<Spec>>> {
    return this.write(() => {
      const held = this.store.kind(kind).get(object.name);
      if (!held) {
        return failed('not-found');
      }
      return held.revision === object.revision
        ? {
            ok: true,
            value: this.store.put(kind, object.name, object.spec) as StoredObject<Spec>,
          }
        : failed('conflict');
    });
  }

  replaceStatus<Spec>(
    kind: string,
    { name, revision }: Pick<StoredObject<unknown>, 'name' | 'revision'>,
    status: unknown,
  ): Promise<StoreResult<StoredObject<Spec>>> {
    return this.write(() => {
      const held = this.store.kind(kind).get(name);
      if (!held) {
        return failed('not-found');
      }
      return held.revision === revision
        ? { ok: true, value: this.store.putStatus(kind, name, status) as StoredObject<Spec> }
        : failed('conflict');
    });
  }

  remove(kind: string, name: string, revision: number): Promise<StoreResult<undefined>> {
    return this.write(() => {
      if (this.store.kind(kind).get(name)?.revision !== revision) {
        return failed('conflict');
      }
      this.store.delete(kind, name);
      return { ok: true, value: undefined };
    });
  }

  async probe(): Promise<StoreResult<number>> {
    this.probes += 1;
    return this.failure ? failed(this.failure) : { ok: true, value: this.store.revision };
  }

  closeIdle(): void {}

  close(): void {
    this.failure = 'unavailable';
    this.store.wake();
  }

  private write<Value>(carryOut: () => StoreResult<Value>): Promise<StoreResult<Value>> {
    return this.answer(() => {
      if (this.writesToDelay > 0) {
        this.writesToDelay -= 1;
        setTimeout(carryOut, this.lateMs);
        return failed('unknown');
      }
      const result = carryOut();
      if (this.answersToLose > 0) {
        this.answersToLose -= 1;
        return failed('unknown');
      }
      return result;
    });
  }

  private answer<Value>(carryOut: () => StoreResult<Value>): Promise<StoreResult<Value>> {
    this.calls += 1;
    if (this.failure) {
      return Promise.resolve(failed(this.failure));
    }
    return Promise.resolve(this.isThrottled() ? failed('throttled') : carryOut());
  }

  private isThrottled(): boolean {
    const now = performance.now();
    this.callTimes.push(now);
    const recent = this.callTimes.filter((time) => now - time < MILLISECONDS_PER_SECOND);
    this.callTimes.splice(0, this.callTimes.length, ...recent);
    return recent.length > this.callsPerSecond;
  }
}

function failed(failure: StoreFailure): { ok: false; failure: StoreFailure; detail: string } {
  return { ok: false, failure, detail: 'stand-in' };
}
