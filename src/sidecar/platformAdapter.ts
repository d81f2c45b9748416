/** What a deployment brings to a sidecar: how the outside speaks. */
import type { RolloutCodec } from '../directory/rolloutStatusWriter.js';
import type { HeaderNames } from '../owner/header-names.js';
import type { Heartbeat } from '../registry/back-end-registry.js';
import type { BackEndIncarnation } from '../registry/backEndIncarnation.js';
import type { PolicyCompiler } from '../routing/configurationDependencies.js';
import type { ConfigurationCandidate } from '../source/configuration-holder.js';
import type { ObjectStore } from '../source/object-store.js';

/** What the deployment brings: how the outside speaks. */
export interface PlatformAdapter {
  readonly store: ObjectStore;
  readonly names: HeaderNames;
  /** Kind and name of the configuration object. */
  readonly configurationKind: string;
  readonly configurationName: string;
  /** Translates a stored configuration; undefined when it has no version. */
  readonly decodeConfiguration: (spec: unknown) => ConfigurationCandidate | undefined;
  /** Translates a configuration that another node gave. */
  readonly decodeConfigurationBytes: (bytes: Buffer) => ConfigurationCandidate | undefined;
  /** Loads the compiler of placement policies, when a configuration has any. */
  readonly loadPolicyCompiler: () => Promise<PolicyCompiler>;
  /** Translates a call of the back end. */
  readonly decodeRegistration: (method: string, path: string, body: Buffer) => Registration;
  /** True for the readiness question. */
  readonly isReadinessCall: (method: string, path: string) => boolean;
  /** How orders for roll-outs are spelled; left out where there are none. */
  readonly rollouts?: RolloutCodec;
}

/** What a back end says to its node. */
export type Registration =
  | { readonly kind: 'heartbeat'; readonly beat: Heartbeat }
  | { readonly kind: 'deregister'; readonly life: BackEndIncarnation }
  | { readonly kind: 'unreadable'; readonly reason: string };
