/** What the operator's commands need of a platform: its store, and its names and formats there. */
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
  /** Codec of the orders for roll-outs. Undefined if the platform has no roll-outs. */
  readonly rollouts?: RolloutCodec;
}
