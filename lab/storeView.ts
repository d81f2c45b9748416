/** One node's way to the store in memory, with the faults that it may show there. */
import {
  type ObjectStore,
  ReadConsistency,
  type StoreChanges,
  type StoredObject,
  type StoreEvent,
  type StoreFailure,
  type StoreListing,
  type StoreResult,
} from '../src/source/object-store.js';
import { countOf, revisionOf } from '../src/source/storeRevision.js';
import type { MemoryStore } from './memory-store.js';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * One node's way to the store. As on the users' platform, a condition or a watch names no era: one that was
 * read before the store came back from a copy is taken for a revision of now.
 */
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
  /** Hears the store's era, see `ObjectStore`. */
  onEra: (era: number) => void = () => {};
  private toldEra = -1;
  private readonly callTimes: number[] = [];

  constructor(private readonly store: MemoryStore) {}

  list<Spec>(
    kind: string,
    reading = ReadConsistency.Strong,
  ): Promise<StoreResult<StoreListing<Spec>>> {
    const asOf =
      this.listsAsOf ??
      (reading === ReadConsistency.BoundedStaleness ? this.latelyAsOf : undefined);
    return this.answer(() => ({
      ok: true,
      value: {
        items: this.store.objectsAt(kind, asOf).map((object) => this.told<Spec>(object)),
        revision: this.revisionOf(asOf ?? this.store.revision),
      },
    }));
  }

  get<Spec>(kind: string, name: string): Promise<StoreResult<StoredObject<Spec>>> {
    return this.answer(() => {
      const object = this.store.kind(kind).get(name);
      return object ? { ok: true, value: this.told<Spec>(object) } : failed('not-found');
    });
  }

  async watch<Spec>(
    kind: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoreResult<StoreChanges<Spec>>> {
    const until = performance.now() + waitMs;
    const from = countOf(revision);
    const changes = () =>
      this.store.log.filter((change) => change.kind === kind && change.revision > from);
    const isKnown = () => this.store.forgotten <= from && from <= this.store.revision;
    while (
      !this.failure &&
      !signal?.aborted &&
      isKnown() &&
      changes().length === 0 &&
      performance.now() < until
    ) {
      await this.store.nextChange(until - performance.now(), signal);
    }
    if (signal?.aborted) {
      return failed('unknown');
    }
    return this.answer(() =>
      isKnown()
        ? {
            ok: true,
            value: {
              events: changes().map(
                ({ object, gone }): StoreEvent<Spec> => ({ object: this.told<Spec>(object), gone }),
              ),
              revision: this.revisionOf(this.store.revision),
            },
          }
        : failed('history-gone'),
    );
  }

  create<Spec>(kind: string, name: string, spec: Spec): Promise<StoreResult<StoredObject<Spec>>> {
    return this.write(() =>
      this.store.kind(kind).has(name)
        ? failed('conflict')
        : { ok: true, value: this.told<Spec>(this.store.put(kind, name, spec)) },
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
      return held.revision === countOf(object.revision)
        ? { ok: true, value: this.told<Spec>(this.store.put(kind, object.name, object.spec)) }
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
      return held.revision === countOf(revision)
        ? { ok: true, value: this.told<Spec>(this.store.putStatus(kind, name, status)) }
        : failed('conflict');
    });
  }

  remove(kind: string, name: string, revision: number): Promise<StoreResult<undefined>> {
    return this.write(() => {
      if (this.store.kind(kind).get(name)?.revision !== countOf(revision)) {
        return failed('conflict');
      }
      this.store.delete(kind, name);
      return { ok: true, value: undefined };
    });
  }

  async probe(): Promise<StoreResult<number>> {
    this.probes += 1;
    this.tellEra();
    return this.failure
      ? failed(this.failure)
      : { ok: true, value: this.revisionOf(this.store.revision) };
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
    this.tellEra();
    if (this.failure) {
      return Promise.resolve(failed(this.failure));
    }
    return Promise.resolve(this.isThrottled() ? failed('throttled') : carryOut());
  }

  private tellEra(): void {
    if (!this.failure && this.store.era > this.toldEra) {
      this.toldEra = this.store.era;
      this.onEra(this.toldEra);
    }
  }

  private revisionOf(count: number): number {
    return revisionOf(this.store.era, count);
  }

  private told<Spec>(object: StoredObject<unknown>): StoredObject<Spec> {
    return { ...object, spec: object.spec as Spec, revision: this.revisionOf(object.revision) };
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
