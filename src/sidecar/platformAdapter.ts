/**
 * Interface between a sidecar and its deployment platform, which provides the store and translates
 * external formats.
 */
import type { RolloutCodec } from '../directory/rolloutStatusWriter.js';
import type { HeaderNames } from '../owner/header-names.js';
import type { Heartbeat } from '../registry/back-end-registry.js';
import type { BackEndIncarnation } from '../registry/backEndIncarnation.js';
import type { PolicyCompiler } from '../routing/configurationDependencies.js';
import type { ConfigurationCandidate } from '../source/configuration-holder.js';
import type { ObjectStore } from '../source/object-store.js';

export interface PlatformAdapter {
  readonly store: ObjectStore;
  readonly names: HeaderNames;
  /** Kind and name of the configuration object. */
  readonly configurationKind: string;
  readonly configurationName: string;
  /** Decodes a stored configuration. Undefined if it has no version. */
  readonly decodeConfiguration: (spec: unknown) => ConfigurationCandidate | undefined;
  /** Decodes a configuration received from another node. */
  readonly decodeConfigurationBytes: (bytes: Buffer) => ConfigurationCandidate | undefined;
  /** Loads the compiler of placement policies; called only if a configuration has any. */
  readonly loadPolicyCompiler: () => Promise<PolicyCompiler>;
  /** Decodes a registration call of the back end. */
  readonly decodeRegistration: (method: string, path: string, body: Buffer) => Registration;
  /** True if a call asks for the node's readiness. */
  readonly isReadinessCall: (method: string, path: string) => boolean;
  /** Format of orders for roll-outs. Undefined if the platform has no roll-outs. */
  readonly rollouts?: RolloutCodec;
}

/** A call that a back end makes to its node. */
export type Registration =
  | { readonly kind: 'heartbeat'; readonly beat: Heartbeat }
  | { readonly kind: 'deregister'; readonly life: BackEndIncarnation }
  | { readonly kind: 'unreadable'; readonly reason: string };
