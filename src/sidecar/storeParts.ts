/** Creates the components that read the store: the zone relay and the configuration follower. */
import type { UsageReporter } from '../diagnostics/usageReporter.js';
import { NODE_KIND } from '../directory/directory-sync.js';
import type { OwnerDirectory } from '../directory/owner-directory.js';
import type { OwnerRecord } from '../directory/owner-entry.js';
import { rankNames } from '../model/rendezvous.js';
import type { PeerClient } from '../peer/peerClient.js';
import type { PooledPeerClient } from '../peer/pooledPeerClient.js';
import { createZoneRelay, type ZoneRelay } from '../relay/zoneRelay.js';
import { ConfigurationFollower, type PeerVersion } from '../source/configuration-follower.js';
import { createDependencyLoader } from '../source/dependencyLoader.js';
import { ObservedStore } from '../source/observed-store.js';
import type { SidecarPartsContext } from './sidecarPartsContext.js';
import { createZoneAssignment } from './zoneAssignment.js';

/** Timeout of a request for another node's configuration, in milliseconds. */
const PEER_CONFIGURATION_TIMEOUT_MS = 1_000;

/**
 * Number of other nodes that a starting node asks for their configuration version. While half of
 * all nodes are starting, at least one of four is up in nine out of ten cases.
 */
const PEERS_ASKED_AT_START = 4;

/** Timeout of a request for a node's version, in milliseconds. A running node needs a few. */
const VERSION_TIMEOUT_MS = 150;

export interface RelayPartContext extends SidecarPartsContext {
  readonly usageReporter: UsageReporter;
  readonly directory: OwnerDirectory;
  readonly reads: PooledPeerClient;
  readonly record: () => OwnerRecord;
}

export function createRelayPart(context: RelayPartContext): ZoneRelay {
  const { settings, platform, clocks, log, metrics, usageReporter, directory, reads, record } =
    context;
  return createZoneRelay({
    clock: clocks.freshnessClock,
    store: new ObservedStore(
      platform.store,
      () => clocks.clock.now(),
      (operation, result) => metrics.storeCalled(operation, result),
    ),
    ownRecord: { kind: NODE_KIND, name: settings().node },
    configurationKind: platform.configurationKind,
    applyMs: settings().configurationApplyMs,
    zoneAssignment: createZoneAssignment({ clock: clocks.clock, directory, own: record }),
    readPeer: (address, query, timeoutMs) => reads.read(address, query, timeoutMs),
    onReaderChange: (reader, cause) => log.event('zone-reader', { reader, cause }),
    onReachabilityChange: (isReached, detail) => log.event('store-reach', { isReached, detail }),
    onEraChange: (era, before) => log.event('store-era', { era, before }),
    onMissedChanges: (kind, revision) => log.event('watch-silent', { kind, revision }),
    onAnswer: (kind, bytes) => {
      usageReporter.noteRelayed(kind, bytes);
    },
  });
}

export interface ConfigurationPartContext extends SidecarPartsContext {
  readonly relay: ZoneRelay;
  readonly directory: OwnerDirectory;
  readonly caller: PeerClient;
  readonly onConnected: (connected: boolean, detail: string, cause?: string) => void;
}

export function createConfigurationPart(context: ConfigurationPartContext): ConfigurationFollower {
  const { settings, platform, clocks, log, relay, directory, caller, onApplied, onConnected } =
    context;
  const fetchPeerVersions = async (): Promise<PeerVersion[]> => {
    const { node } = settings();
    const others = directory.all().filter(({ isLocal }) => !isLocal);
    const byName = new Map(others.map(({ record }) => [record.node, record.address]));
    // The ranking depends on this node's name, so nodes that start together ask different nodes.
    const peersToAsk = rankNames(node, [...byName.keys()]).slice(0, PEERS_ASKED_AT_START);
    const versions = peersToAsk.map(async (name): Promise<PeerVersion> => {
      const address = byName.get(name) ?? '';
      const report = await caller.status(address, VERSION_TIMEOUT_MS);
      return { address, version: report?.version ?? 0 };
    });
    return Promise.all(versions);
  };
  return new ConfigurationFollower({
    clock: clocks.freshnessClock,
    store: relay.store,
    storeReachableAt: () => relay.store.answeredAt,
    kind: platform.configurationKind,
    name: platform.configurationName,
    applyDeadlineMs: settings().configurationApplyMs,
    debounceMs: () => relay.debounceMs(),
    decode: platform.decodeConfiguration,
    decodeBytes: platform.decodeConfigurationBytes,
    fetchFromPeer: (address) => caller.configuration(address, PEER_CONFIGURATION_TIMEOUT_MS),
    fetchPeerVersions,
    onConnected,
    onApplied,
    onRejected: (version, origin, findings) =>
      log.event('configuration-held-off', { version, origin, findings }),
    onDependenciesMissing: (version, missing) =>
      log.event('configuration-waits', { version, ...missing }),
    onUnreadable: (revision) => log.event('configuration-unreadable', { revision }),
    dependencyLoader: createDependencyLoader({
      store: relay.store,
      loadPolicyCompiler: platform.loadPolicyCompiler,
    }),
  });
}
