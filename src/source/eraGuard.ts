/**
 * Protects a node against a store that has been restored from a copy, which begins a new era (see
 * `storeRevision.ts`): revisions of an earlier era are never used in the current one. The restored
 * store uses the same revisions again. It may therefore accept a watch from an old revision and
 * miss the changes with lower revisions, and a conditional write with an old revision may change a
 * different object.
 */
import type { Clock } from '../model/clock.js';
import type { ObjectStore, StoreError, StoreResult } from './object-store.js';
import { eraOf } from './storeRevision.js';

/**
 * For this time after a successful call, in milliseconds, the store is assumed to be in the same
 * era: it must stop answering before it can be restored. After that time, a probe precedes each
 * conditional write. The probe costs a tenth of the write, and such writes are rare.
 */
const SAME_ERA_MS = 500;

const HISTORY_GONE: StoreError = {
  ok: false,
  failure: 'history-gone',
  detail: 'the store has been restored from a copy',
};

const OUTDATED_RESPONSE: StoreError = {
  ok: false,
  failure: 'unavailable',
  detail: 'the response is from before the store was restored from a copy',
};

const CONFLICT: StoreError = {
  ok: false,
  failure: 'conflict',
  detail: 'the object was read before the store was restored from a copy',
};

const UNKNOWN: StoreError = {
  ok: false,
  failure: 'unknown',
  detail: 'the store was restored from a copy during the call',
};

/** Dependencies of an {@link EraGuard}. */
export interface EraGuardContext {
  readonly clock: Clock;
  readonly store: ObjectStore;
  /**
   * Called when the store has been restored from a copy. Not called for the first era that the
   * store reports.
   */
  readonly onEraIncrease?: (era: number, previousEra: number) => void;
}

/** The guarded store. */
export interface EraGuard extends ObjectStore {
  /** The newest era that the store has reported; 0 before the first. */
  readonly era: number;
  /** Called with the era that the store reports in a response. */
  noteEra(era: number): void;
}

export function createEraGuard({ clock, store, onEraIncrease }: EraGuardContext): EraGuard {
  let era: number | undefined;
  let answeredAt = Number.NEGATIVE_INFINITY;

  const isOutdated = (revision: number) => eraOf(revision) < (era ?? 0);

  const trackResponse = async <Value>(
    call: Promise<StoreResult<Value>>,
  ): Promise<StoreResult<Value>> => {
    const result = await call;
    if (result.ok) {
      answeredAt = clock.now();
    }
    return result;
  };

  const probe = (kind: string) => trackResponse(store.probe(kind));

  /** Sends a write that requires the object to still have this revision. */
  const writeIfUnchanged = async <Value>(
    kind: string,
    revision: number,
    write: () => Promise<StoreResult<Value>>,
  ): Promise<StoreResult<Value>> => {
    if (clock.now() - answeredAt > SAME_ERA_MS) {
      const probed = await probe(kind);
      if (!probed.ok) {
        return probed;
      }
    }
    if (isOutdated(revision)) {
      return CONFLICT;
    }
    const result = await trackResponse(write());
    return result.ok && isOutdated(revision) ? UNKNOWN : result;
  };

  return {
    get era() {
      return era ?? 0;
    },
    noteEra: (next) => {
      const previous = era;
      if (previous === undefined || next > previous) {
        era = next;
      }
      if (previous !== undefined && next > previous) {
        onEraIncrease?.(next, previous);
      }
    },
    list: (kind, reading) => trackResponse(store.list(kind, reading)),
    get: (kind, name) => trackResponse(store.get(kind, name)),
    watch: async (kind, revision, waitMs, signal) => {
      if (isOutdated(revision)) {
        return HISTORY_GONE;
      }
      const result = await trackResponse(store.watch<never>(kind, revision, waitMs, signal));
      if (!result.ok) {
        return result;
      }
      const eraDifference = eraOf(result.value.revision) - eraOf(revision);
      if (eraDifference !== 0) {
        return eraDifference > 0 ? HISTORY_GONE : OUTDATED_RESPONSE;
      }
      return result;
    },
    create: (kind, name, spec) => trackResponse(store.create(kind, name, spec)),
    replace: (kind, object) =>
      writeIfUnchanged(kind, object.revision, () => store.replace(kind, object)),
    replaceStatus: (kind, object, status) =>
      writeIfUnchanged(kind, object.revision, () => store.replaceStatus(kind, object, status)),
    remove: (kind, name, revision) =>
      writeIfUnchanged(kind, revision, () => store.remove(kind, name, revision)),
    probe,
    closeIdle: () => store.closeIdle(),
    close: () => store.close(),
  };
}
