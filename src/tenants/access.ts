/** Decides from a request's API key which tenant sent it and whether it is admitted. */
import type { Keyring } from './keyring.js';
import type { MeshTenant } from './tenant.js';

export enum AccessKind {
  Granted = 'granted',
  /** The request carries no key, more than one key, or a key that no tenant holds. */
  Denied = 'denied',
  /** The configuration in force at this node may be too old for a decision. */
  Uncertain = 'uncertain',
}

export type Access =
  /** `tenant` is undefined if the request needs no key. */
  | { readonly kind: AccessKind.Granted; readonly tenant: MeshTenant | undefined }
  | { readonly kind: AccessKind.Denied | AccessKind.Uncertain };

/** The input of {@link decideAccess}. */
export interface AccessContext {
  readonly keyring: Keyring;
  /** True if the route of the request needs no key. */
  readonly isPublic: boolean;
  /** All values of the request's header field for API keys. */
  readonly keys: readonly string[];
  /** True if there may be a newer configuration than that of the keyring. */
  readonly mayBeStale: boolean;
  /**
   * True if the configuration may be so old that one of its keys may have been revoked for longer
   * than revoked keys may be accepted.
   */
  readonly isTooStale: boolean;
}

const OPEN: Access = { kind: AccessKind.Granted, tenant: undefined };
const DENIED: Access = { kind: AccessKind.Denied };
const UNCERTAIN: Access = { kind: AccessKind.Uncertain };

export function decideAccess(context: AccessContext): Access {
  const { keyring, isPublic, keys, mayBeStale, isTooStale } = context;
  if (!keyring.hasTenants || isPublic) {
    return OPEN;
  }
  if (keys.length > 1) {
    return DENIED;
  }
  const tenant = keys[0] === undefined ? undefined : keyring.tenantOf(keys[0]);
  if (!tenant) {
    // In a version that is not yet in force here, the key may exist or the route may be public.
    return mayBeStale ? UNCERTAIN : DENIED;
  }
  return isTooStale ? UNCERTAIN : { kind: AccessKind.Granted, tenant };
}
