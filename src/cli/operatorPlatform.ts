/** What a deployment brings to the operator's commands: its store and how that spells things. */
import type { RolloutCodec } from '../directory/rolloutStatusWriter.js';
import type { MeshConfiguration } from '../routing/mesh-configuration.js';
import type { ConfigurationCandidate } from '../source/configuration-holder.js';
import type { ObjectStore } from '../source/object-store.js';

export interface OperatorPlatform {
  /** `address` is `host:port`. */
  readonly connect: (address: string) => ObjectStore;
  /** Kind and name of the configuration object. */
  readonly configurationKind: string;
  readonly configurationName: string;
  readonly decodeConfiguration: (spec: unknown) => ConfigurationCandidate | undefined;
  readonly encodeConfiguration: (configuration: MeshConfiguration) => unknown;
  /** How orders for roll-outs are spelled; left out where there are none. */
  readonly rollouts?: RolloutCodec;
}
