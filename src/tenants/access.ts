/** Who a request is from, and whether its key lets it in. */
import type { Keyring } from './keyring.js';
import type { MeshTenant } from './tenant.js';

export enum AccessKind {
  Granted = 'granted',
  /** It carries no key, more than one, or one that nobody holds. */
  Denied = 'denied',
  /** What this node knows is too old to tell. */
  Uncertain = 'uncertain',
}

export type Access =
  /** `tenant` is undefined where no key is needed. */
  | { readonly kind: AccessKind.Granted; readonly tenant: MeshTenant | undefined }
  | { readonly kind: AccessKind.Denied | AccessKind.Uncertain };

/** What the decision rests on. */
export interface AccessContext {
  readonly keyring: Keyring;
  /** True if the route of the request needs no key. */
  readonly isPublic: boolean;
  /** Every value that the request carries in the field for keys. */
  readonly keys: readonly string[];
  /** True when there may be a newer configuration than the one of the keyring. */
  readonly mayBeStale: boolean;
  /** True when a key may have been taken away so long ago that it must not be believed any longer. */
  readonly isTooStale: boolean;
}

const OPEN: Access = { kind: AccessKind.Granted, tenant: undefined };
const DENIED: Access = { kind: AccessKind.Denied };
const UNCERTAIN: Access = { kind: AccessKind.Uncertain };

export function decideAccess(question: AccessContext): Access {
  const { keyring, isPublic, keys, mayBeStale, isTooStale } = question;
  if (!keyring.hasTenants || isPublic) {
    return OPEN;
  }
  if (keys.length > 1) {
    return DENIED;
  }
  const tenant = keys[0] === undefined ? undefined : keyring.tenantOf(keys[0]);
  if (!tenant) {
    // The key may be new, or the route public, in a version that has not come here yet.
    return mayBeStale ? UNCERTAIN : DENIED;
  }
  return isTooStale ? UNCERTAIN : { kind: AccessKind.Granted, tenant };
}
