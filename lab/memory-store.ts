/** An object store in memory with the faults that a real one shows, for tests. */
import { ROLLOUT_KIND } from '../platform/rollouts.js';
import type { StoredObject, StoreEvent } from '../src/source/object-store.js';

export { StoreView } from './storeView.js';

export interface LoggedChange extends StoreEvent<unknown> {
  readonly kind: string;
  readonly revision: number;
  /** Steady time in milliseconds. */
  readonly at: number;
}

/** The store itself; each node gets a {@link StoreView} of its own. */
export class MemoryStore {
  readonly objects = new Map<string, Map<string, StoredObject<unknown>>>();
  readonly log: LoggedChange[] = [];
  revision = 0;
  /** Changes at or below this revision are forgotten. */
  forgotten = 0;
  /** How often it has come back from a copy. */
  era = 0;
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

  /**
   * Comes back from a copy of that revision: what was written since is gone, and the revisions after it
   * are given out again. Returns what is lost, the oldest first.
   */
  restore(revision: number): LoggedChange[] {
    for (const kind of this.objects.keys()) {
      const objects = this.objectsAt(kind, revision);
      this.objects.set(kind, new Map(objects.map((object) => [object.name, object])));
    }
    const lost = this.log.splice(
      this.log.findLastIndex((change) => change.revision <= revision) + 1,
    );
    this.revision = revision;
    this.forgotten = Math.min(this.forgotten, revision);
    this.era += 1;
    this.wake();
    return lost;
  }

  /** The newest revision that is at least so old, in milliseconds. */
  revisionBefore(ageMs: number): number {
    const until = performance.now() - ageMs;
    return this.log.findLast(({ at }) => at <= until)?.revision ?? 0;
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
    this.log.push({ kind, object, gone, revision: this.revision, at: performance.now() });
    this.wake();
  }
}
