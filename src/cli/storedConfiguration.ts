/** The one whole configuration in the store, as an operator reads and replaces it. */
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

/** Attempts to learn what became of a write whose answer was lost, and the pause between them. */
const MAX_WRITES = 6;
const WRITE_RETRY_MS = 400;

/** What is in the store. */
export interface StoredConfiguration {
  readonly object: StoredObject<unknown>;
  readonly version: number;
  /** Undefined if it does not pass this program's checks. */
  readonly configuration: MeshConfiguration | undefined;
}

export type ReadResult =
  | { readonly kind: 'read'; readonly stored: StoredConfiguration | undefined }
  | { readonly kind: 'unavailable'; readonly failure: StoreFailure };

/** What became of a change. */
export type WriteResult =
  | { readonly kind: 'accepted'; readonly version: number; readonly object: StoredObject<unknown> }
  | { readonly kind: 'conflict'; readonly version: number | undefined }
  | { readonly kind: 'rejected' | 'unavailable' | 'unknown'; readonly failure: StoreFailure };

/** Reads the configuration that the store holds now. */
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
 * Puts a configuration in the place of `base`, under a version above that and above all that nodes hold: a store
 * that has come back from a copy may hold an older one, and no node goes back. The write is conditional on
 * what was read, so it may be repeated until it is known what became of it: a second one that meets
 * the first finds exactly its own content there.
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
  for (let attempt = 1; ; attempt += 1) {
    const result = base
      ? await store.replace(kind, { name, revision: base.object.revision, spec })
      : await store.create(kind, name, spec);
    if (result.ok) {
      return { kind: 'accepted', version, object: result.value };
    }
    if (result.failure === 'conflict' || result.failure === 'not-found') {
      return whoWon(store, platform, spec, version);
    }
    if (result.failure !== 'unknown') {
      const isRefused = result.failure === 'rejected';
      return { kind: isRefused ? 'rejected' : 'unavailable', failure: result.failure };
    }
    if (attempt >= MAX_WRITES) {
      return { kind: 'unknown', failure: result.failure };
    }
    await delay(WRITE_RETRY_MS);
  }
}

async function whoWon(
  store: ObjectStore,
  platform: OperatorPlatform,
  spec: unknown,
  version: number,
): Promise<WriteResult> {
  const now = await readStored(store, platform);
  if (now.kind === 'unavailable') {
    return { kind: 'unknown', failure: now.failure };
  }
  const { stored } = now;
  return stored && isSpec(stored, spec)
    ? { kind: 'accepted', version, object: stored.object }
    : { kind: 'conflict', version: stored?.version };
}

function isSpec({ object }: StoredConfiguration, spec: unknown): boolean {
  return isDeepStrictEqual(object.spec, JSON.parse(JSON.stringify(spec)));
}

/** True if the store has come back from a copy since a write, and holds something else. */
export function isLost(
  stored: StoredConfiguration | undefined,
  written: StoredObject<unknown>,
): boolean {
  return (
    !stored ||
    (mayBeLost(written.revision, stored.object.revision) && !isSpec(stored, written.spec))
  );
}
