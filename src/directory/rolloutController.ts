import { rankNames } from '../model/rendezvous.js';
import { AnnouncementTopic } from '../peer/peerMessages.js';
import type { ExposureBounds } from '../rollout/exposure.js';
import {
  createRolloutDecider,
  type RolloutDecider,
  type RolloutStep,
} from '../rollout/rolloutDecider.js';
import {
  type EvidenceReport,
  encodeRolloutMessage,
  type PhaseMessage,
  RolloutMessageKind,
} from '../rollout/rolloutMessages.js';
import {
  isLeased,
  type RolloutOrder,
  RolloutPhase,
  RolloutState,
} from '../rollout/rolloutOrder.js';
import { type RolloutPlan, shareOf } from '../rollout/rolloutPlan.js';
import { hasEnded, type RolloutTracker, type RunningRollout } from '../rollout/rolloutTracker.js';
import type { AnnouncementBroadcast } from './announcementBroadcast.js';
import type { OwnerDirectory } from './owner-directory.js';
import type { OwnerEntry } from './owner-entry.js';
import {
  createOwnerNotifier,
  type OwnerNotifierContext,
  type SentLimits,
} from './ownerNotifier.js';
import type { RolloutElection } from './rolloutElection.js';
import { decisionLogFields } from './rolloutLog.js';
import type { RolloutStatusWriter, RolloutStatusWriterContext } from './rolloutStatusWriter.js';

/** A phase that lapses is told again so often, the others so that nodes know that the decider lives. */
const LEASE_RENEWAL_MS = 500;
const PHASE_RENEWAL_MS = 2_000;

/** Versions that this node has heard of since, and another plan, are told on after this time, in milliseconds. */
const NEWS_RENEWAL_MS = 500;

/** A node that has told a phase decides for so long, in milliseconds: it tells it again within that time. */
const DECIDING_MS = 2_500;

/** A plan is another one when a share has changed by this factor. */
const SHARE_FACTOR = 1.5;

/** Taken for the time of a call to the store before one was measured, in milliseconds. */
const USUAL_STORE_MS = 100;

/** Reports that come together are looked at together, in milliseconds. */
const MIN_STEP_MS = 50;

/** What changed, for the log. */
export interface RolloutChange {
  readonly service: string;
  readonly change: string;
  readonly detail: Readonly<Record<string, unknown>>;
}

/** What is needed of the node. */
export interface RolloutControllerContext extends OwnerNotifierContext {
  readonly rollouts: RolloutTracker;
  readonly election: RolloutElection;
  readonly directory: Pick<OwnerDirectory, 'all' | 'ownersOf'>;
  readonly broadcast: Pick<AnnouncementBroadcast, 'publish'>;
  readonly contactMs: () => number;
  readonly writer: () => RolloutStatusWriter;
  readonly bounds: () => ExposureBounds;
  /** A phase is told to all nodes: this one is to take it too. */
  readonly onPhase: (news: PhaseMessage) => void;
  readonly onChange: (change: RolloutChange) => void;
}

export interface RolloutController {
  receiveEvidence(evidence: EvidenceReport): void;
  /** Decides and carries out, if that falls to this node. */
  reconcile(rollout: RunningRollout): void;
  /** A phase that another node has told. */
  noteLeader(service: string, node: string): void;
  /** Another node no longer decides. */
  noteResigned(service: string, node: string): void;
  /** An order is gone: what is known of the versions is told once more, since its version gets nothing now. */
  noteRemoved(order: RolloutOrder): void;
  /** A status was written, or the store did not take it. */
  noteWritten: RolloutStatusWriterContext['onWritten'];
}

/** What is kept for an order that runs. */
interface OrderWork {
  readonly generation: number;
  readonly decider: RolloutDecider;
  toldAt: number;
  /** Owners whose version has been told with it. */
  toldVersions: number;
  /** The plan that was told last. */
  plan: RolloutPlan | undefined;
  reason: string;
  steppedAt: number;
  readonly toldLimits: SentLimits;
}

export function createRolloutController(context: RolloutControllerContext): RolloutController {
  const { clock, rollouts, election, directory, broadcast, own, contactMs, writer } = context;
  const words = createOwnerNotifier(context);
  const works = new Map<string, OrderWork>();
  /** The node that has told a phase of a service's order last, besides this one. */
  const told = new Map<string, { readonly node: string; readonly at: number }>();
  /** Of the last write that the store took. */
  let storeMs = USUAL_STORE_MS;

  const workOf = ({ order, generation }: RunningRollout): OrderWork => {
    const { service, targetVersion } = order;
    const known = works.get(service);
    if (known?.generation === generation) {
      return known;
    }
    const created: OrderWork = {
      generation,
      decider: createRolloutDecider(clock, targetVersion),
      toldAt: Number.NEGATIVE_INFINITY,
      toldVersions: 0,
      plan: undefined,
      reason: '',
      steppedAt: Number.NEGATIVE_INFINITY,
      toldLimits: new Map(),
    };
    works.set(service, created);
    return created;
  };

  const tellPhase = (order: RolloutOrder, phase: RolloutPhase, plan?: RolloutPlan): void => {
    const work = works.get(order.service);
    const versions = work?.decider.versions ?? [];
    if (work) {
      work.toldAt = clock.now();
      work.toldVersions = versions.length;
      work.plan = plan;
    }
    const news: PhaseMessage = {
      kind: RolloutMessageKind.Phase,
      service: order.service,
      orderId: order.id,
      phase,
      leader: own().node,
      ageMs: rollouts.running(order.service)?.ageMs ?? 0,
      versions,
      ...(plan ? { plan } : {}),
    };
    context.onPhase(news);
    broadcast.publish(AnnouncementTopic.Rollouts, encodeRolloutMessage(news));
  };

  /** Another node is to decide: the store refuses this one's writes. */
  const resign = (service: string): void => {
    const { node } = own();
    const kind = RolloutMessageKind.Resignation;
    election.noteResigned(service, node);
    broadcast.publish(AnnouncementTopic.Rollouts, encodeRolloutMessage({ kind, service, node }));
  };

  /**
   * The node that decides in place of this one: of two that both think they do, since half of the owners tell
   * each, the first by rank. They would take back each other's phases.
   */
  const deciderBefore = (service: string): OwnerEntry | undefined => {
    const last = told.get(service);
    if (!last || clock.now() - last.at > DECIDING_MS) {
      return undefined;
    }
    const [first] = rankNames(`rollout/${service}`, [last.node, own().node]);
    const entry = directory.all().find(({ record }) => record.node === last.node);
    return first === last.node && entry?.absenceReason !== 'silent' ? entry : undefined;
  };

  const ownersOf = (service: string) => ({
    up: directory
      .ownersOf(service)
      .filter(({ absenceReason }) => !absenceReason)
      .map(({ record }) => record.node),
    contactMs: contactMs(),
  });

  const renewalMs = ({ phase, plan }: RolloutStep, work: OrderWork): number => {
    const isNew = work.decider.versions.length > work.toldVersions || isOther(plan, work.plan);
    if (isLeased(phase)) {
      return isNew ? MIN_STEP_MS : LEASE_RENEWAL_MS;
    }
    if (phase === RolloutPhase.Halt) {
      return LEASE_RENEWAL_MS;
    }
    return isNew ? NEWS_RENEWAL_MS : PHASE_RENEWAL_MS;
  };

  const carryOut = (rollout: RunningRollout, step: RolloutStep, work: OrderWork): void => {
    const { order } = rollout;
    const { phase, plan } = step;
    if (phase === RolloutPhase.Done) {
      writer().write(order, RolloutState.Completed);
    } else if (phase === RolloutPhase.Halt) {
      writer().write(order, RolloutState.RolledBack);
    }
    words.sendLimits(rollout, step, work.toldLimits);
    // Until the status is written, the other versions get nothing and wait for their end.
    const isEnding = writer().pending(order.service) === RolloutState.Completed;
    const shown = phase === RolloutPhase.Done || isEnding ? RolloutPhase.Shift : phase;
    if (shown !== rollout.phase || clock.now() - work.toldAt >= renewalMs(step, work)) {
      tellPhase(order, shown, plan);
    }
  };

  const reconcile = (rollout: RunningRollout): void => {
    const { order, phase } = rollout;
    const work = workOf(rollout);
    const owners = ownersOf(order.service);
    const isTold = election.isLeader(order.service) || work.decider.hasReportQuorum(owners);
    if (!isTold || deciderBefore(order.service)) {
      return;
    }
    if (order.state === undefined) {
      writer().write(order, RolloutState.Running);
    }
    work.steppedAt = clock.now();
    const { bounds } = context;
    const step = work.decider.step(rollout, owners, { bounds: bounds(), storeMs });
    if (step.reason !== work.reason || step.phase !== phase) {
      work.reason = step.reason;
      context.onChange({
        service: order.service,
        change: 'decision',
        detail: decisionLogFields(step),
      });
    }
    carryOut(rollout, step, work);
  };

  return {
    receiveEvidence: (report) => {
      const rollout = rollouts.running(report.service);
      const decider = deciderBefore(report.service);
      if (decider) {
        words.send(decider, report);
      }
      if (rollout?.order.id === report.orderId) {
        rollouts.noteAge(report.service, report.orderId, report.ageMs);
        const work = workOf(rollout);
        work.decider.addReport(report, rollouts.running(report.service)?.ageMs ?? report.ageMs);
        // In the last step each moment sends the version all that comes.
        if (rollout.phase === RolloutPhase.Shift && clock.now() - work.steppedAt >= MIN_STEP_MS) {
          reconcile(rollout);
        }
      }
    },
    reconcile,
    noteLeader: (service, node) => {
      if (node !== own().node) {
        told.set(service, { node, at: clock.now() });
      }
    },
    noteResigned: (service, node) => {
      if (told.get(service)?.node === node) {
        told.delete(service);
      }
    },
    noteRemoved: (order) => {
      const work = works.get(order.service);
      if (work && election.isLeader(order.service)) {
        // Watch is the least that a node which still holds the order may give the version.
        tellPhase(order, RolloutPhase.Watch);
      }
      works.delete(order.service);
    },
    noteWritten: (order, state, result, tookMs) => {
      const { service, targetVersion } = order;
      storeMs = result === 'ok' ? tookMs : storeMs;
      context.onChange({ service, change: 'status', detail: { targetVersion, state, result } });
      if (result === 'throttled' || result === 'unavailable') {
        resign(service);
      } else if (result === 'ok' && hasEnded({ ...order, state })) {
        const isCompleted = state === RolloutState.Completed;
        tellPhase(order, isCompleted ? RolloutPhase.Done : RolloutPhase.Halt);
      }
    },
  };
}

/** True if the nodes are to be told of a plan though they have been told of another one. */
function isOther(plan: RolloutPlan, told: RolloutPlan | undefined): boolean {
  if (!told || [...plan.owners].sort().join(' ') !== [...told.owners].sort().join(' ')) {
    return true;
  }
  if (plan.isFenced !== told.isFenced) {
    return true;
  }
  return [...plan.shares.keys()].some((route) => {
    const [share, before] = [shareOf(plan, route), shareOf(told, route)];
    return share > before * SHARE_FACTOR || share < before / SHARE_FACTOR;
  });
}
