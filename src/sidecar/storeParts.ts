/** What a sidecar reads of the store: by way of its zone's readers, and the configuration. */
import type { LoadLine } from '../diagnostics/loadLine.js';
import { NODE_KIND } from '../directory/directory-sync.js';
import type { OwnerDirectory } from '../directory/owner-directory.js';
import type { OwnerRecord } from '../directory/owner-entry.js';
import type { PeerCaller } from '../peer/peerCaller.js';
import type { PeerReads } from '../peer/peerReads.js';
import { createZoneRelay, type ZoneRelay } from '../relay/zoneRelay.js';
import { ConfigurationFollower } from '../source/configuration-follower.js';
import { ObservedStore } from '../source/observed-store.js';
import { createSupplier } from '../source/supplier.js';
import type { SidecarPartsContext } from './sidecarPartsContext.js';
import { createZoneMembership } from './zoneMembership.js';

/** A configuration is asked of another node for at the most this long, in milliseconds. */
const PEER_CONFIGURATION_TIMEOUT_MS = 1_000;

/** What the relay needs besides. */
export interface RelayPartContext extends SidecarPartsContext {
  readonly load: LoadLine;
  readonly directory: OwnerDirectory;
  readonly reads: PeerReads;
  readonly record: () => OwnerRecord;
}

export function createRelayPart(context: RelayPartContext): ZoneRelay {
  const { settings, outside, clocks, log, metrics, load, directory, reads, record } = context;
  return createZoneRelay({
    clock: clocks.beliefClock,
    store: new ObservedStore(
      outside.store,
      () => clocks.clock.now(),
      (operation, result) => metrics.storeCalled(operation, result),
    ),
    record: { kind: NODE_KIND, name: settings().node },
    hurriedKind: outside.configurationKind,
    applyMs: settings().configurationApplyMs,
    zonePart: createZoneMembership({ clock: clocks.clock, directory, own: record }),
    readPeer: (address, question, timeoutMs) => reads.read(address, question, timeoutMs),
    onReader: (reader, cause) => log.event('zone-reader', { reader, cause }),
    onReach: (isReached, detail) => log.event('store-reach', { isReached, detail }),
    onUntold: (kind, revision) => log.event('watch-silent', { kind, revision }),
    onAnswer: (kind, bytes) => {
      load.noteRelayed(kind, bytes);
    },
  });
}

/** What the configuration needs besides. */
export interface ConfigurationPartContext extends SidecarPartsContext {
  readonly relay: ZoneRelay;
  readonly caller: PeerCaller;
  readonly onConnected: (connected: boolean, detail: string, cause?: string) => void;
}

export function createConfigurationPart(context: ConfigurationPartContext): ConfigurationFollower {
  const { settings, outside, clocks, log, relay, caller, onInForce, onConnected } = context;
  return new ConfigurationFollower({
    clock: clocks.beliefClock,
    store: relay.store,
    provenAt: () => relay.store.answeredAt,
    kind: outside.configurationKind,
    name: outside.configurationName,
    applyMs: settings().configurationApplyMs,
    settleMs: () => relay.settleMs(),
    decode: outside.decodeConfiguration,
    decodeBytes: outside.decodeConfigurationBytes,
    askPeer: (address) => caller.configuration(address, PEER_CONFIGURATION_TIMEOUT_MS),
    onConnected,
    onInForce,
    onHeldOff: (version, origin, findings) =>
      log.event('configuration-held-off', { version, origin, findings }),
    onShort: (version, shortage) => log.event('configuration-waits', { version, ...shortage }),
    onUnreadable: (revision) => log.event('configuration-unreadable', { revision }),
    supplier: createSupplier({
      store: relay.store,
      loadPolicyCompiler: outside.loadPolicyCompiler,
    }),
  });
}
