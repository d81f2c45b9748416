/**
 * The leader's part in a roll-out: feeds the owners' reports to the decider, publishes its phases
 * and limits, and has the order's status written. Two nodes may both count as the leader while
 * their lists of nodes differ; then the second by rank yields and forwards its reports.
 */
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

/** Interval in milliseconds at which Halt, or a leased phase before it expires, is republished. */
const LEASE_RENEWAL_MS = 500;
/** Interval in milliseconds for any other phase, to show that the leader is up. */
const PHASE_RENEWAL_MS = 2_000;
/** Milliseconds for a phase, not leased nor Halt, whose plan or known versions have changed. */
const CHANGE_RENEWAL_MS = 500;

/** Milliseconds a node counts as leader after publishing a phase; a leader republishes sooner. */
const LEADERSHIP_MS = 2_500;

/** A plan also counts as changed if a share has changed by more than this factor. */
const SHARE_FACTOR = 1.5;

/** Assumed duration of a write to the store before the first one, in milliseconds. */
const DEFAULT_STORE_MS = 100;

/**
 * Shortest time in milliseconds from a decision to one that a report causes: reports that arrive
 * together share one. Also the interval for a leased phase whose plan or versions have changed.
 */
const MIN_STEP_MS = 50;

/** A change of a roll-out, for the log. */
export interface RolloutChange {
  readonly service: string;
  readonly change: string;
  readonly detail: Readonly<Record<string, unknown>>;
}

export interface RolloutControllerContext extends OwnerNotifierContext {
  readonly rollouts: RolloutTracker;
  readonly election: RolloutElection;
  readonly directory: Pick<OwnerDirectory, 'all' | 'ownersOf'>;
  readonly broadcast: Pick<AnnouncementBroadcast, 'publish'>;
  readonly contactMs: () => number;
  readonly writer: () => RolloutStatusWriter;
  readonly bounds: () => ExposureBounds;
  /** Applies a published phase to this node; the broadcast reaches only the other nodes. */
  readonly onPhase: (message: PhaseMessage) => void;
  readonly onChange: (change: RolloutChange) => void;
}

export interface RolloutController {
  /** Handles an owner's report, and forwards it if this node yields to another leader. */
  receiveEvidence(report: EvidenceReport): void;
  /** Makes a decision and applies it, if this node is the leader. */
  reconcile(rollout: RunningRollout): void;
  /** Called when `node` has published a phase of the service's roll-out. */
  noteLeader(service: string, node: string): void;
  noteResigned(service: string, node: string): void;
  /** The leader publishes the versions once more, since the removed order's gets no requests. */
  noteRemoved(order: RolloutOrder): void;
  /** Called after each attempt to write a status. */
  noteWritten: RolloutStatusWriterContext['onWritten'];
}

interface OrderWork {
  readonly generation: number;
  readonly decider: RolloutDecider;
  publishedAt: number;
  /** Number of owners whose version was in the last published phase. */
  publishedCount: number;
  /** The last published plan. */
  plan: RolloutPlan | undefined;
  reason: string;
  steppedAt: number;
  readonly sentLimits: SentLimits;
}

export function createRolloutController(ctx: RolloutControllerContext): RolloutController {
  const { clock, rollouts, election, directory, broadcast, own, contactMs, writer } = ctx;
  const notifier = createOwnerNotifier(ctx);
  const workByService = new Map<string, OrderWork>();
  /** The last other node that has published a phase, by service. */
  const lastLeaders = new Map<string, { readonly node: string; readonly at: number }>();
  /** Duration of the last successful write to the store, in milliseconds. */
  let storeMs = DEFAULT_STORE_MS;

  const workOf = ({ order, generation }: RunningRollout): OrderWork => {
    const { service, targetVersion } = order;
    const existing = workByService.get(service);
    if (existing?.generation === generation) {
      return existing;
    }
    const created: OrderWork = {
      generation,
      decider: createRolloutDecider(clock, targetVersion),
      publishedAt: Number.NEGATIVE_INFINITY,
      publishedCount: 0,
      plan: undefined,
      reason: '',
      steppedAt: Number.NEGATIVE_INFINITY,
      sentLimits: new Map(),
    };
    workByService.set(service, created);
    return created;
  };

  const publishPhase = (order: RolloutOrder, phase: RolloutPhase, plan?: RolloutPlan): void => {
    const work = workByService.get(order.service);
    const versions = work?.decider.versions ?? [];
    if (work) {
      work.publishedAt = clock.now();
      work.publishedCount = versions.length;
      work.plan = plan;
    }
    const message: PhaseMessage = {
      kind: RolloutMessageKind.Phase,
      service: order.service,
      orderId: order.id,
      phase,
      leader: own().node,
      ageMs: rollouts.running(order.service)?.ageMs ?? 0,
      versions,
      ...(plan ? { plan } : {}),
    };
    ctx.onPhase(message);
    broadcast.publish(AnnouncementTopic.Rollouts, encodeRolloutMessage(message));
  };

  /** Lets another node lead, since the store throttled this node's write or was unavailable. */
  const resign = (service: string): void => {
    const { node } = own();
    const kind = RolloutMessageKind.Resignation;
    election.noteResigned(service, node);
    broadcast.publish(AnnouncementTopic.Rollouts, encodeRolloutMessage({ kind, service, node }));
  };

  /**
   * The other leader that this node yields to, if any. While half of the owners report to each of
   * two nodes, both lead and would revert each other's phases, so only the first by rank decides.
   */
  const precedingLeader = (service: string): OwnerEntry | undefined => {
    const last = lastLeaders.get(service);
    if (!last || clock.now() - last.at > LEADERSHIP_MS) {
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
    const isNew = work.decider.versions.length > work.publishedCount || isChanged(plan, work.plan);
    if (isLeased(phase)) {
      return isNew ? MIN_STEP_MS : LEASE_RENEWAL_MS;
    }
    if (phase === RolloutPhase.Halt) {
      return LEASE_RENEWAL_MS;
    }
    return isNew ? CHANGE_RENEWAL_MS : PHASE_RENEWAL_MS;
  };

  const applyStep = (rollout: RunningRollout, step: RolloutStep, work: OrderWork): void => {
    const { order } = rollout;
    const { phase, plan } = step;
    if (phase === RolloutPhase.Done) {
      writer().write(order, RolloutState.Completed);
    } else if (phase === RolloutPhase.Halt) {
      writer().write(order, RolloutState.RolledBack);
    }
    notifier.sendLimits(rollout, step, work.sentLimits);
    // The other versions stay fenced (get no requests) until the completion is written.
    const isEnding = writer().pending(order.service) === RolloutState.Completed;
    const published = phase === RolloutPhase.Done || isEnding ? RolloutPhase.Shift : phase;
    if (published !== rollout.phase || clock.now() - work.publishedAt >= renewalMs(step, work)) {
      publishPhase(order, published, plan);
    }
  };

  const reconcile = (rollout: RunningRollout): void => {
    const { order, phase } = rollout;
    const work = workOf(rollout);
    const owners = ownersOf(order.service);
    const isLeading = election.isLeader(order.service) || work.decider.hasReportQuorum(owners);
    if (!isLeading || precedingLeader(order.service)) {
      return;
    }
    if (order.state === undefined) {
      writer().write(order, RolloutState.Running);
    }
    work.steppedAt = clock.now();
    const { bounds } = ctx;
    const step = work.decider.step(rollout, owners, { bounds: bounds(), storeMs });
    if (step.reason !== work.reason || step.phase !== phase) {
      work.reason = step.reason;
      ctx.onChange({ service: order.service, change: 'decision', detail: decisionLogFields(step) });
    }
    applyStep(rollout, step, work);
  };

  return {
    receiveEvidence: (report) => {
      const rollout = rollouts.running(report.service);
      const leader = precedingLeader(report.service);
      if (leader) {
        notifier.send(leader, report);
      }
      if (rollout?.order.id === report.orderId) {
        rollouts.noteAge(report.service, report.orderId, report.ageMs);
        const work = workOf(rollout);
        work.decider.addReport(report, rollouts.running(report.service)?.ageMs ?? report.ageMs);
        // In the last phase the version receives all requests, so each report is evaluated at once.
        if (rollout.phase === RolloutPhase.Shift && clock.now() - work.steppedAt >= MIN_STEP_MS) {
          reconcile(rollout);
        }
      }
    },
    reconcile,
    noteLeader: (service, node) => {
      if (node !== own().node) {
        lastLeaders.set(service, { node, at: clock.now() });
      }
    },
    noteResigned: (service, node) => {
      if (lastLeaders.get(service)?.node === node) {
        lastLeaders.delete(service);
      }
    },
    noteRemoved: (order) => {
      const work = workByService.get(order.service);
      if (work && election.isLeader(order.service)) {
        // On a node that has not yet read the removal, Watch gives the version the smallest share.
        publishPhase(order, RolloutPhase.Watch);
      }
      workByService.delete(order.service);
    },
    noteWritten: (order, state, result, tookMs) => {
      const { service, targetVersion } = order;
      storeMs = result === 'ok' ? tookMs : storeMs;
      ctx.onChange({ service, change: 'status', detail: { targetVersion, state, result } });
      if (result === 'throttled' || result === 'unavailable') {
        resign(service);
      } else if (result === 'ok' && hasEnded({ ...order, state })) {
        const isCompleted = state === RolloutState.Completed;
        publishPhase(order, isCompleted ? RolloutPhase.Done : RolloutPhase.Halt);
      }
    },
  };
}

function isChanged(plan: RolloutPlan, published: RolloutPlan | undefined): boolean {
  if (!published || [...plan.owners].sort().join(' ') !== [...published.owners].sort().join(' ')) {
    return true;
  }
  if (plan.isFenced !== published.isFenced) {
    return true;
  }
  return [...plan.shares.keys()].some((route) => {
    const [share, before] = [shareOf(plan, route), shareOf(published, route)];
    return share > before * SHARE_FACTOR || share < before / SHARE_FACTOR;
  });
}
