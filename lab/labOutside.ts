/** How the lab's deployment spells things: as the product's own model does. */
import { PLATFORM_ROLLOUTS } from '../platform/rollouts.js';
import type { OperatorPlatform } from '../src/cli/operatorPlatform.js';
import { DEFAULT_HEADER_NAMES } from '../src/owner/header-names.js';
import type { PlatformAdapter, Registration } from '../src/sidecar/platformAdapter.js';
import type { ConfigurationCandidate } from '../src/source/configuration-holder.js';
import type { ObjectStore } from '../src/source/object-store.js';

export const CONFIGURATION_KIND = 'configuration';
export const CONFIGURATION_NAME = 'current';

const CONFIGURATION = {
  configurationKind: CONFIGURATION_KIND,
  configurationName: CONFIGURATION_NAME,
  decodeConfiguration,
} as const;

/** For sidecars. */
export function labOutside(store: ObjectStore): PlatformAdapter {
  return {
    ...CONFIGURATION,
    store,
    names: DEFAULT_HEADER_NAMES,
    decodeConfigurationBytes: (bytes) => decodeConfiguration(JSON.parse(bytes.toString())),
    loadPolicyCompiler: async () =>
      (await import('../src/policy/placement-policy.js')).compilePolicy,
    decodeRegistration: (_method, _path, body) => JSON.parse(body.toString()) as Registration,
    isReadinessCall: (_method, path) => path === '/ready',
    rollouts: PLATFORM_ROLLOUTS,
  };
}

/** For operators. */
export function labOperatorOutside(connect: OperatorPlatform['connect']): OperatorPlatform {
  return {
    ...CONFIGURATION,
    connect,
    encodeConfiguration: (configuration) => configuration,
    rollouts: PLATFORM_ROLLOUTS,
  };
}

function decodeConfiguration(spec: unknown): ConfigurationCandidate | undefined {
  const version = (spec as { version?: unknown }).version;
  return typeof version === 'number'
    ? { version, candidate: spec, bytes: () => Buffer.from(JSON.stringify(spec)) }
    : undefined;
}
