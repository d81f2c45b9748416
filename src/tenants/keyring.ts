/**
 * The keys of one configuration, by their digests: a key that nobody holds takes the same steps as one
 * that somebody does, and how far it agrees with a true one does not show in the time it takes.
 */
import { hash } from 'node:crypto';
import type { MeshTenant } from './tenant.js';

/** Hexadecimal digits by which an operator may tell keys apart: too few to find a key by. */
const SHOWN_DIGITS = 8;

export interface Keyring {
  /** False without tenants: then nobody needs a key. */
  readonly hasTenants: boolean;
  /** The tenant that holds a key. */
  tenantOf(key: string): MeshTenant | undefined;
}

export function createKeyring(tenants: readonly MeshTenant[]): Keyring {
  const holders = new Map<string, MeshTenant>();
  for (const tenant of tenants) {
    for (const key of tenant.apiKeys) {
      holders.set(digestOf(key), tenant);
    }
  }
  return {
    hasTenants: tenants.length > 0,
    tenantOf: (key) => holders.get(digestOf(key)),
  };
}

/** What may be shown of a key. */
export function keyDigest(key: string): string {
  return digestOf(key).slice(0, SHOWN_DIGITS);
}

function digestOf(key: string): string {
  return hash('sha256', key, 'hex');
}
