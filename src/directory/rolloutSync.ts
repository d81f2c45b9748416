/**
 * This node's part in roll-outs: follows the orders in the store, reports the outcomes of its back
 * end's requests, and makes the decisions while it is the leader.
 *
 * Each node computes the leader from the service's name and the nodes that are up. Two nodes may
 * both act as the leader; conditional writes keep that from doing harm. A new leader finds all it
 * needs in the store and in the owners' next reports.
 */

import type { Clock } from '../model/clock.js';
import type { PeerClient } from '../peer/peerClient.js';
import { AnnouncementTopic } from '../peer/peerMessages.js';
import type { ExposureBounds } from '../rollout/exposure.js';
import {
  decodeRolloutMessage,
  type PhaseMessage,
  RolloutMessageKind,
} from '../rollout/rolloutMessages.js';
import { RolloutPhase } from '../rollout/rolloutOrder.js';
import { createRolloutTracker, type RolloutTracker } from '../rollout/rolloutTracker.js';
import type { BackEndRun } from '../rollout/runCounts.js';
import type { RunPermit } from '../rollout/runLimiter.js';
import { type CollectionHandler, CollectionWatcher } from '../source/collection-watcher.js';
import type { ObjectStore } from '../source/object-store.js';
import type { AnnouncementBroadcast } from './announcementBroadcast.js';
import type { OwnerDirectory } from './owner-directory.js';
import type { OwnerEntry, OwnerRecord } from './owner-entry.js';
import { createRolloutController, type RolloutChange } from './rolloutController.js';
import { createRolloutElection } from './rolloutElection.js';
import { createRolloutOrders } from './rolloutOrders.js';
import { createRolloutReporter, type LocalBackEnd } from './rolloutReporter.js';
import { createRolloutStatusWriter, type RolloutCodec } from './rolloutStatusWriter.js';
import { createStaggeredRepairs } from './staggeredRepairs.js';

/** Interval in milliseconds at which reports and decisions are made while an order runs. */
const TICK_MS = 125;

/**
 * Longest wait of a watch in milliseconds, while an order runs and while none does. While an order
 * runs, it is below `contactMs` (3 s by default): after that time without an answer of the store or
 * an announcement of the leader, a node cannot be sure that the order is still in force.
 */
const RUNNING_WAIT_MS = 1_000;
const QUIET_WAIT_MS = 15_000;

/** Dependencies on the rest of the node. */
export interface RolloutSyncContext {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly codec: RolloutCodec;
  readonly directory: OwnerDirectory;
  readonly broadcast: AnnouncementBroadcast;
  readonly caller: PeerClient;
  readonly own: () => OwnerRecord;
  readonly backEnd: () => LocalBackEnd;
  readonly contactMs: () => number;
  readonly bounds: () => ExposureBounds;
  readonly onConnected: CollectionHandler<unknown>['onConnected'];
  readonly onChange: (change: RolloutChange) => void;
}

export interface RolloutSync {
  start(): void;
  stop(): void;
  readonly rollouts: RolloutTracker;
  /** Records the outcome of a request to this node's back end. */
  recordRun(run: BackEndRun): void;
  /** A permit for one request to this node's back end; undefined if an order allows none now. */
  acquirePermit(): RunPermit | undefined;
  /** The version of a node's back end in the leader's last announcement that lists the node. */
  announcedVersion(node: string): string | undefined;
}

export function createRolloutSync(context: RolloutSyncContext): RolloutSync {
  const { clock, store, codec, directory, broadcast, own, contactMs, onChange } = context;
  const rollouts = createRolloutTracker({ clock, staleMs: contactMs });
  const election = createRolloutElection(context);
  const repairs = createStaggeredRepairs({
    own: () => own().node,
    nodes: () => directory.all().map(({ record }) => record.node),
  });
  const announcedVersions = new Map<string, string>();
  let timer: NodeJS.Timeout | undefined;

  const applyPhase = (message: PhaseMessage, from = 'own'): void => {
    for (const [node, version] of message.versions) {
      announcedVersions.set(node, version);
    }
    if (rollouts.applyPhase(message)) {
      const { service, phase } = message;
      onChange({ service, change: 'phase', detail: { phase: RolloutPhase[phase], from } });
      reporter.reportPhaseChange(service);
    }
  };

  const controller = createRolloutController({
    ...context,
    rollouts,
    election,
    writer: () => writer,
    onPhase: applyPhase,
    onLocalLimit: (message) => reporter.applyLimit(message),
  });

  const writer = createRolloutStatusWriter({
    clock,
    store,
    codec,
    lastRead: (service) => orders.lastRead(service),
    // A missing object is left to the watch, which distinguishes a removal from a loss.
    onRead: (_service, object) => object && orders.apply(object),
    onWritten: controller.noteWritten,
  });

  const orders = createRolloutOrders({
    clock,
    rollouts,
    repairs,
    decode: codec.decode,
    write: writer.write,
    onApplied: ({ service, ...detail }, revision) =>
      onChange({ service, change: 'order', detail: { ...detail, revision } }),
    onLost: (service) => onChange({ service, change: 'lost', detail: {} }),
    onRemoved: (service, running) => {
      if (running) {
        controller.noteRemoved(running);
      }
      onChange({ service, change: 'removed', detail: {} });
    },
  });

  /** False with fewer than two owners that are up, since this node may have just started. */
  const isSoleVersion = (service: string, version: string): boolean => {
    const up = directory.ownersOf(service).filter(({ absenceReason }) => !absenceReason);
    const versionOf = ({ record, backEndVersion }: OwnerEntry) =>
      backEndVersion ?? announcedVersions.get(record.node);
    return up.length > 1 && up.every((entry) => versionOf(entry) === version);
  };

  const reporter = createRolloutReporter({
    ...context,
    rollouts,
    election,
    isSoleVersion,
    onLocalEvidence: controller.receiveEvidence,
  });

  const tick = (): void => {
    orders.repairLost();
    for (const service of rollouts.runningServices) {
      const rollout = rollouts.running(service);
      if (rollout) {
        reporter.report(rollout);
        controller.reconcile(rollout);
      }
    }
  };

  broadcast.subscribe(AnnouncementTopic.Rollouts, (content, from) => {
    const message = decodeRolloutMessage(content);
    switch (message?.kind) {
      case RolloutMessageKind.Phase:
        controller.noteLeader(message.service, message.leader);
        applyPhase(message, from);
        return;
      case RolloutMessageKind.Evidence:
        controller.receiveEvidence(message);
        return;
      case RolloutMessageKind.Limit:
        reporter.applyLimit(message);
        return;
      case RolloutMessageKind.Resignation:
        election.noteResigned(message.service, message.node);
        controller.noteResigned(message.service, message.node);
    }
  });

  const watcher = new CollectionWatcher<unknown>(
    store,
    codec.kind,
    {
      onList: (listed, revision) => {
        rollouts.isSynced = true;
        orders.applyList(listed, revision);
      },
      onChange: (object, isRemoved, revision) => {
        if (isRemoved) {
          orders.noteAbsent(object.name, object.revision, revision);
        } else {
          orders.apply(object);
        }
      },
      onConnected: context.onConnected,
      onUpToDate: () => rollouts.markSynced(),
    },
    {
      get waitMs() {
        return rollouts.runningServices.length > 0 ? RUNNING_WAIT_MS : QUIET_WAIT_MS;
      },
      debounceMs: () => 0,
    },
  );

  return {
    rollouts,
    start: () => {
      timer = setInterval(tick, TICK_MS);
      void watcher.run();
    },
    stop: () => {
      clearInterval(timer);
      repairs.stop();
      watcher.stop();
    },
    recordRun: reporter.recordRun,
    acquirePermit: reporter.acquirePermit,
    announcedVersion: (node) => announcedVersions.get(node),
  };
}
