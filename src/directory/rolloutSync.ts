/**
 * Carries roll-outs out together with the other nodes: follows the orders in the store, reports what the
 * back end here makes of its requests, and decides where that falls to this node.
 *
 * Which node decides follows from the order's name and the nodes that are up; conditional writes keep
 * two that both think so from doing harm. All that a successor needs is in the store or told again.
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

/** Pause between two looks at what is to be told and decided while an order runs, in milliseconds. */
const TICK_MS = 125;

/**
 * Longest wait of a watch in milliseconds while an order runs, and while none does: a node that gets no
 * answer for longer cannot know that the order still stands.
 */
const RUNNING_WAIT_MS = 1_000;
const QUIET_WAIT_MS = 15_000;

/** What is needed of the node. */
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
  /** The back end here has ended a request. */
  recordRun(run: BackEndRun): void;
  /** Lets a request through to the back end here; undefined if an order gives it nothing more now. */
  acquirePermit(): RunPermit | undefined;
  /** The version of a node's back end by the decider's word. */
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
  const toldVersions = new Map<string, string>();
  let ticking: NodeJS.Timeout | undefined;

  const takePhase = (news: PhaseMessage, from = 'own'): void => {
    for (const [node, version] of news.versions) {
      toldVersions.set(node, version);
    }
    if (rollouts.applyPhase(news)) {
      const { service, phase } = news;
      onChange({ service, change: 'phase', detail: { phase: RolloutPhase[phase], from } });
      reporter.reportPhaseChange(service);
    }
  };

  const steering = createRolloutController({
    ...context,
    rollouts,
    election,
    writer: () => writer,
    onPhase: takePhase,
    onLocalLimit: (news) => reporter.applyLimit(news),
  });

  const writer = createRolloutStatusWriter({
    clock,
    store,
    codec,
    lastRead: (service) => orders.lastRead(service),
    // That there is none is told by the watch, which knows whether it was removed or is lost.
    onRead: (_service, object) => object && orders.apply(object),
    onWritten: steering.noteWritten,
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
        steering.noteRemoved(running);
      }
      onChange({ service, change: 'removed', detail: {} });
    },
  });

  /** A node that knows of no other owner may have just started. */
  const isSoleVersion = (service: string, version: string): boolean => {
    const up = directory.ownersOf(service).filter(({ absenceReason }) => !absenceReason);
    const versionOf = ({ record, backEndVersion }: OwnerEntry) =>
      backEndVersion ?? toldVersions.get(record.node);
    return up.length > 1 && up.every((entry) => versionOf(entry) === version);
  };

  const reporter = createRolloutReporter({
    ...context,
    rollouts,
    election,
    isSoleVersion,
    onLocalEvidence: steering.receiveEvidence,
  });

  const tick = (): void => {
    orders.repairLost();
    for (const service of rollouts.runningServices) {
      const rollout = rollouts.running(service);
      if (rollout) {
        reporter.report(rollout);
        steering.reconcile(rollout);
      }
    }
  };

  broadcast.subscribe(AnnouncementTopic.Rollouts, (content, from) => {
    const news = decodeRolloutMessage(content);
    switch (news?.kind) {
      case RolloutMessageKind.Phase:
        steering.noteLeader(news.service, news.leader);
        takePhase(news, from);
        return;
      case RolloutMessageKind.Evidence:
        steering.receiveEvidence(news);
        return;
      case RolloutMessageKind.Limit:
        reporter.applyLimit(news);
        return;
      case RolloutMessageKind.Resignation:
        election.noteResigned(news.service, news.node);
        steering.noteResigned(news.service, news.node);
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
      onChange: (object, gone, revision) => {
        if (gone) {
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
      ticking = setInterval(tick, TICK_MS);
      void watcher.run();
    },
    stop: () => {
      clearInterval(ticking);
      repairs.stop();
      watcher.stop();
    },
    recordRun: reporter.recordRun,
    acquirePermit: reporter.acquirePermit,
    announcedVersion: (node) => toldVersions.get(node),
  };
}
