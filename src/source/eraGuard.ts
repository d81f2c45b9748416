/**
 * A store that may come back from a copy, made safe to go on with: nothing that was learnt of an earlier era is
 * taken for a place in the present one. The store gives revisions out again, so a watch from an old one may be
 * accepted and miss what changed below it, and a condition on an old one may meet another object.
 */
import type { Clock } from '../model/clock.js';
import type { ObjectStore, StoreError, StoreResult } from './object-store.js';
import { eraOf } from './storeRevision.js';

/**
 * A store that has answered within this time, in milliseconds, is taken to be in the same era still: to come
 * back from a copy it has to be away first. After that a write with a condition is preceded by a probe, a tenth
 * of its price; such writes are rare.
 */
const SAME_ERA_MS = 500;

const HISTORY_GONE: StoreError = {
  ok: false,
  failure: 'history-gone',
  detail: 'the store has come back from a copy',
};

const OUTDATED_ANSWER: StoreError = {
  ok: false,
  failure: 'unavailable',
  detail: 'an answer from before the store came back from a copy',
};

const CONFLICT: StoreError = {
  ok: false,
  failure: 'conflict',
  detail: 'read before the store came back from a copy',
};

const UNKNOWN: StoreError = {
  ok: false,
  failure: 'unknown',
  detail: 'the store came back from a copy meanwhile',
};

/** What is needed of the node. */
export interface EraGuardContext {
  readonly clock: Clock;
  readonly store: ObjectStore;
  /** The store has come back from a copy; not called for the first era that is heard of. */
  readonly onEraIncrease?: (era: number, before: number) => void;
}

/** The store, and the newest era that it has told. */
export interface EraGuard extends ObjectStore {
  readonly era: number;
  /** The store has told this era in an answer. */
  noteEra(era: number): void;
}

export function createEraGuard({ clock, store, onEraIncrease }: EraGuardContext): EraGuard {
  let era: number | undefined;
  let answeredAt = Number.NEGATIVE_INFINITY;

  const isOutdated = (revision: number) => eraOf(revision) < (era ?? 0);

  const heard = async <Value>(call: Promise<StoreResult<Value>>): Promise<StoreResult<Value>> => {
    const result = await call;
    if (result.ok) {
      answeredAt = clock.now();
    }
    return result;
  };

  const probe = (kind: string) => heard(store.probe(kind));

  /** A write on the condition that an object is still of this revision. */
  const writeAt = async <Value>(
    kind: string,
    revision: number,
    write: () => Promise<StoreResult<Value>>,
  ): Promise<StoreResult<Value>> => {
    if (clock.now() - answeredAt > SAME_ERA_MS) {
      const seen = await probe(kind);
      if (!seen.ok) {
        return seen;
      }
    }
    if (isOutdated(revision)) {
      return CONFLICT;
    }
    const result = await heard(write());
    return result.ok && isOutdated(revision) ? UNKNOWN : result;
  };

  return {
    get era() {
      return era ?? 0;
    },
    noteEra: (next) => {
      const before = era;
      if (before === undefined || next > before) {
        era = next;
      }
      if (before !== undefined && next > before) {
        onEraIncrease?.(next, before);
      }
    },
    list: (kind, reading) => heard(store.list(kind, reading)),
    get: (kind, name) => heard(store.get(kind, name)),
    watch: async (kind, revision, waitMs, signal) => {
      if (isOutdated(revision)) {
        return HISTORY_GONE;
      }
      const result = await heard(store.watch<never>(kind, revision, waitMs, signal));
      if (!result.ok) {
        return result;
      }
      const drift = eraOf(result.value.revision) - eraOf(revision);
      if (drift !== 0) {
        return drift > 0 ? HISTORY_GONE : OUTDATED_ANSWER;
      }
      return result;
    },
    create: (kind, name, spec) => heard(store.create(kind, name, spec)),
    replace: (kind, object) => writeAt(kind, object.revision, () => store.replace(kind, object)),
    replaceStatus: (kind, object, status) =>
      writeAt(kind, object.revision, () => store.replaceStatus(kind, object, status)),
    remove: (kind, name, revision) =>
      writeAt(kind, revision, () => store.remove(kind, name, revision)),
    probe,
    closeIdle: () => store.closeIdle(),
    close: () => store.close(),
  };
}
