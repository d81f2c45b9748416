/**
 * The API keys of one configuration, stored by their digests. A lookup takes the same steps for an
 * unknown key as for a known one, and its duration does not show how much of a key is right.
 */
import { hash } from 'node:crypto';
import type { MeshTenant } from './tenant.js';

/**
 * Number of hexadecimal digits of a digest that operators see: enough to distinguish keys, too few
 * to find a key.
 */
const SHOWN_DIGITS = 8;

export interface Keyring {
  /** False if the configuration has no tenants; then no request needs a key. */
  readonly hasTenants: boolean;
  /** The tenant that holds a key. Undefined if no tenant does. */
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

/** Returns the part of a key's digest that may be shown to operators. */
export function keyDigest(key: string): string {
  return digestOf(key).slice(0, SHOWN_DIGITS);
}

function digestOf(key: string): string {
  return hash('sha256', key, 'hex');
}
