/**
 * Creates the components of a sidecar that carry out roll-outs, unless the settings or the platform
 * have no roll-outs.
 */
import type { AnnouncementBroadcast } from '../directory/announcementBroadcast.js';
import type { OwnerDirectory } from '../directory/owner-directory.js';
import type { OwnerRecord } from '../directory/owner-entry.js';
import { createRolloutSync, type RolloutSync } from '../directory/rolloutSync.js';
import type { LocalOwner } from '../owner/local-owner.js';
import type { PeerClient } from '../peer/peerClient.js';
import type { ZoneRelay } from '../relay/zoneRelay.js';
import type { ExposureBounds } from '../rollout/exposure.js';
import { createVersionSelector, type VersionSelector } from '../rollout/versionSelector.js';
import { recordRollout } from './decisionRecords.js';
import type { SidecarPartsContext } from './sidecarPartsContext.js';

export interface RolloutPartsContext extends SidecarPartsContext {
  readonly relay: ZoneRelay;
  readonly directory: OwnerDirectory;
  readonly broadcast: AnnouncementBroadcast;
  readonly caller: PeerClient;
  readonly owner: LocalOwner;
  readonly record: () => OwnerRecord;
  /** Number of nodes that share the slack; infinite until the directory has been read. */
  readonly nodes: () => number;
  readonly onConnected: (connected: boolean, detail: string, cause?: string) => void;
}

/** Used if reloaded settings have no roll-out bounds: the exposure budget is then zero. */
const NO_EXPOSURE: ExposureBounds = { exposureShare: 0, exposureSlack: 0 };

export interface RolloutParts {
  readonly sync: RolloutSync;
  readonly versionSelector: VersionSelector;
}

export function createRolloutParts(context: RolloutPartsContext): RolloutParts | undefined {
  const { settings, platform, clocks, log, metrics, relay, directory, owner, record, nodes } =
    context;
  if (!settings().rollout || !platform.rollouts) {
    return undefined;
  }
  const sync = createRolloutSync({
    ...context,
    clock: clocks.freshnessClock,
    store: relay.store,
    codec: platform.rollouts,
    own: record,
    backEnd: () => {
      const { service, backEndVersion, ready, slots, inFlight, queued } = owner.report;
      return {
        service,
        version: backEndVersion,
        isReady: ready,
        slots,
        load: inFlight + queued,
      };
    },
    contactMs: () => settings().contactMs,
    bounds: () => settings().rollout ?? NO_EXPOSURE,
    onChange: (change) => recordRollout({ log, metrics }, change),
  });
  const { rollouts } = sync;
  const versionSelector = createVersionSelector({
    clock: clocks.clock,
    bounds: () => settings().rollout,
    applyMs: () => settings().configurationApplyMs,
    owners: (service) =>
      directory.ownersOf(service).map((entry) => {
        const { node } = entry.record;
        return { node, version: entry.backEndVersion ?? sync.announcedVersion(node) };
      }),
    nodes,
    view: rollouts.view,
    isSynced: () => rollouts.isSynced,
    withdrawn: rollouts.withdrawn,
  });
  return { sync, versionSelector };
}
