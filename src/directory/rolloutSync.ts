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
import type { NewsBroadcast } from './newsBroadcast.js';
import type { OwnerDirectory } from './owner-directory.js';
import type { OwnerEntry, OwnerRecord } from './owner-entry.js';
import { createRestoreTurns } from './restoreTurns.js';
import { createRolloutElection } from './rolloutElection.js';
import { createRolloutOrders } from './rolloutOrders.js';
import { createRolloutReporter, type OwnBackEnd } from './rolloutReporter.js';
import { createRolloutStatusWriter, type RolloutObjects } from './rolloutStatus.js';
import { createRolloutSteering, type RolloutChange } from './rolloutSteering.js';

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
  readonly objects: RolloutObjects;
  readonly directory: OwnerDirectory;
  readonly broadcast: NewsBroadcast;
  readonly caller: PeerClient;
  readonly own: () => OwnerRecord;
  readonly backEnd: () => OwnBackEnd;
  readonly contactMs: () => number;
  readonly bounds: () => ExposureBounds;
  readonly onConnected: CollectionHandler<unknown>['onConnected'];
  readonly onChange: (change: RolloutChange) => void;
}

export interface RolloutSync {
  start(): void;
  stop(): void;
  readonly book: RolloutTracker;
  /** The back end here has ended a request. */
  noteRun(run: BackEndRun): void;
  /** Lets a request through to the back end here; undefined if an order gives it nothing more now. */
  enter(): RunPermit | undefined;
  /** The version of a node's back end by the decider's word. */
  toldVersion(node: string): string | undefined;
}

export function createRolloutSync(context: RolloutSyncContext): RolloutSync {
  const { clock, store, objects, directory, broadcast, own, contactMs, onChange } = context;
  const book = createRolloutTracker({ clock, staleMs: contactMs });
  const election = createRolloutElection(context);
  const turns = createRestoreTurns({
    own: () => own().node,
    nodes: () => directory.all().map(({ record }) => record.node),
  });
  const toldVersions = new Map<string, string>();
  let ticking: NodeJS.Timeout | undefined;

  const takePhase = (news: PhaseMessage, from = 'own'): void => {
    for (const [node, version] of news.versions) {
      toldVersions.set(node, version);
    }
    if (book.applyPhase(news)) {
      const { service, phase } = news;
      onChange({ service, change: 'phase', detail: { phase: RolloutPhase[phase], from } });
      reporter.reportPhase(service);
    }
  };

  const steering = createRolloutSteering({
    ...context,
    book,
    election,
    writer: () => writer,
    onPhase: takePhase,
    onOwnLimit: (news) => reporter.takeLimit(news),
  });

  const writer = createRolloutStatusWriter({
    clock,
    store,
    objects,
    held: (service) => orders.held(service),
    // That there is none is told by the watch, which knows whether it was removed or is lost.
    onRead: (_service, object) => object && orders.take(object),
    onWritten: steering.noteWritten,
  });

  const orders = createRolloutOrders({
    clock,
    book,
    turns,
    decode: objects.decode,
    write: writer.write,
    onTaken: ({ service, ...detail }, revision) =>
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
  const isAlone = (service: string, version: string): boolean => {
    const up = directory.ownersOf(service).filter(({ absence }) => !absence);
    const versionOf = ({ record, backEndVersion }: OwnerEntry) =>
      backEndVersion ?? toldVersions.get(record.node);
    return up.length > 1 && up.every((entry) => versionOf(entry) === version);
  };

  const reporter = createRolloutReporter({
    ...context,
    book,
    election,
    isAlone,
    onOwnEvidence: steering.takeEvidence,
  });

  const tick = (): void => {
    orders.look();
    for (const service of book.runningServices) {
      const rollout = book.running(service);
      if (rollout) {
        reporter.report(rollout);
        steering.steer(rollout);
      }
    }
  };

  broadcast.listen(AnnouncementTopic.Rollouts, (content, from) => {
    const news = decodeRolloutMessage(content);
    switch (news?.kind) {
      case RolloutMessageKind.Phase:
        steering.noteDecider(news.service, news.leader);
        takePhase(news, from);
        return;
      case RolloutMessageKind.Evidence:
        steering.takeEvidence(news);
        return;
      case RolloutMessageKind.Limit:
        reporter.takeLimit(news);
        return;
      case RolloutMessageKind.Resignation:
        election.noteResigned(news.service, news.node);
        steering.noteResigned(news.service, news.node);
    }
  });

  const watcher = new CollectionWatcher<unknown>(
    store,
    objects.kind,
    {
      onList: (listed, revision) => {
        book.isSynced = true;
        orders.takeList(listed, revision);
      },
      onChange: (object, gone, revision) => {
        if (gone) {
          orders.takeAbsence(object.name, object.revision, revision);
        } else {
          orders.take(object);
        }
      },
      onConnected: context.onConnected,
      onUpToDate: () => book.markSynced(),
    },
    {
      get waitMs() {
        return book.runningServices.length > 0 ? RUNNING_WAIT_MS : QUIET_WAIT_MS;
      },
      debounceMs: () => 0,
    },
  );

  return {
    book,
    start: () => {
      ticking = setInterval(tick, TICK_MS);
      void watcher.run();
    },
    stop: () => {
      clearInterval(ticking);
      turns.stop();
      watcher.stop();
    },
    noteRun: reporter.noteRun,
    enter: reporter.enter,
    toldVersion: (node) => toldVersions.get(node),
  };
}
