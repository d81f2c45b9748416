/** Reads and replaces the configuration in the store. */
import { setTimeout as delay } from 'node:timers/promises';
import { isDeepStrictEqual } from 'node:util';
import { checkMeshConfiguration, type MeshConfiguration } from '../routing/mesh-configuration.js';
import {
  type ObjectStore,
  ReadConsistency,
  type StoredObject,
  type StoreFailure,
} from '../source/object-store.js';
import { mayBeLost } from '../source/storeRevision.js';
import type { OperatorPlatform } from './operatorPlatform.js';

/** Number of attempts of a write that an earlier attempt may have done. */
const MAX_WRITES = 6;

/** Pause between two attempts, in milliseconds. */
const WRITE_RETRY_MS = 400;

export interface StoredConfiguration {
  readonly object: StoredObject<unknown>;
  readonly version: number;
  /** Undefined if the stored configuration does not pass this program's checks. */
  readonly configuration: MeshConfiguration | undefined;
}

export type ReadResult =
  | { readonly kind: 'read'; readonly stored: StoredConfiguration | undefined }
  | { readonly kind: 'unavailable'; readonly failure: StoreFailure };

/** Result of a write. */
export type WriteResult =
  | { readonly kind: 'accepted'; readonly version: number; readonly object: StoredObject<unknown> }
  | { readonly kind: 'conflict'; readonly version: number | undefined }
  | { readonly kind: 'rejected' | 'unavailable' | 'unknown'; readonly failure: StoreFailure };

/** Reads the current configuration from the store. */
export async function readStored(
  store: ObjectStore,
  platform: OperatorPlatform,
): Promise<ReadResult> {
  const listed = await store.list<unknown>(platform.configurationKind, ReadConsistency.Strong);
  if (!listed.ok) {
    return { kind: 'unavailable', failure: listed.failure };
  }
  const object = listed.value.items.find(({ name }) => name === platform.configurationName);
  const decoded = object && platform.decodeConfiguration(object.spec);
  if (!object || !decoded) {
    return { kind: 'read', stored: undefined };
  }
  const configuration = checkMeshConfiguration(decoded.candidate).toMaybe().extract();
  return { kind: 'read', stored: { object, version: decoded.version, configuration } };
}

/**
 * Replaces `base` with a configuration with a new version, greater than that of `base` and than
 * `newestHeld`, the newest version that nodes hold: a store that has been restored from a copy may
 * hold an older version, and nodes do not go back to one. The write is conditional on the revision
 * of `base`, so it can be repeated until its result is known: if an earlier attempt has succeeded,
 * the next one is a conflict, and the store holds exactly the content that was written.
 */
export async function replaceStored(
  store: ObjectStore,
  platform: OperatorPlatform,
  base: StoredConfiguration | undefined,
  configuration: MeshConfiguration,
  newestHeld = 0,
): Promise<WriteResult> {
  const version = Math.max(base?.version ?? 0, newestHeld) + 1;
  const spec = platform.encodeConfiguration({ ...configuration, version });
  const { configurationKind: kind, configurationName: name } = platform;
  let mayBeWritten = false;
  for (let attempt = 1; ; attempt += 1) {
    const result = base
      ? await store.replace(kind, { name, revision: base.object.revision, spec })
      : await store.create(kind, name, spec);
    if (result.ok) {
      return { kind: 'accepted', version, object: result.value };
    }
    const { failure } = result;
    if (failure === 'conflict' || failure === 'not-found') {
      return resolveConflict(store, platform, { spec, version, mayBeWritten });
    }
    mayBeWritten ||= failure === 'unknown';
    if (!mayBeWritten) {
      return { kind: failure === 'rejected' ? 'rejected' : 'unavailable', failure };
    }
    if (attempt >= MAX_WRITES) {
      return { kind: 'unknown', failure };
    }
    await delay(WRITE_RETRY_MS);
  }
}

/** A write that was not accepted because the store holds another revision. */
interface ConflictingWrite {
  readonly spec: unknown;
  readonly version: number;
  /** True if the result of an earlier attempt is unknown. */
  readonly mayBeWritten: boolean;
}

async function resolveConflict(
  store: ObjectStore,
  platform: OperatorPlatform,
  { spec, version, mayBeWritten }: ConflictingWrite,
): Promise<WriteResult> {
  const current = await readStored(store, platform);
  if (current.kind === 'unavailable') {
    return { kind: 'unknown', failure: current.failure };
  }
  const { stored } = current;
  if (stored && hasSpec(stored, spec)) {
    return { kind: 'accepted', version, object: stored.object };
  }
  // Another writer may have replaced what an earlier attempt has written.
  return mayBeWritten
    ? { kind: 'unknown', failure: 'conflict' }
    : { kind: 'conflict', version: stored?.version };
}

function hasSpec({ object }: StoredConfiguration, spec: unknown): boolean {
  return isDeepStrictEqual(object.spec, JSON.parse(JSON.stringify(spec)));
}

/**
 * True if the store holds no configuration, or has been restored from a copy since `written` and
 * holds another one.
 */
export function isLost(
  stored: StoredConfiguration | undefined,
  written: StoredObject<unknown>,
): boolean {
  return (
    !stored ||
    (mayBeLost(written.revision, stored.object.revision) && !hasSpec(stored, written.spec))
  );
}
