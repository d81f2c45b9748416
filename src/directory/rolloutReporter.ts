/** An owner's part in a roll-out: it tells the decider what its back end has made of its requests. */
import { randomUUID } from 'node:crypto';
import type { Clock } from '../model/clock.js';
import type { PeerClient } from '../peer/peerClient.js';
import { AnnouncementTopic } from '../peer/peerMessages.js';
import {
  type EvidenceReport,
  encodeRolloutMessage,
  type LimitMessage,
  RolloutMessageKind,
} from '../rollout/rolloutMessages.js';
import { isLeased, RolloutPhase, RolloutState } from '../rollout/rolloutOrder.js';
import { hasEnded, type RolloutTracker, type RunningRollout } from '../rollout/rolloutTracker.js';
import { type BackEndRun, createRunCounts, type RunCounts } from '../rollout/runCounts.js';
import {
  createRunLimiter,
  type RunLimiter,
  type RunPermit,
  UNCONDITIONAL_PERMIT,
} from '../rollout/runLimiter.js';
import type { OwnerRecord } from './owner-entry.js';
import type { RolloutElection } from './rolloutElection.js';

/**
 * Reports of the owners with the target version, and of the others, which have many more requests to
 * tell of: each costs a connection to the decider.
 */
const TARGET_REPORT_MS = 500;
const OTHER_REPORT_MS = 1_000;

/** The same while a phase lasts for moments only; the others also tell when they have run their last request. */
const LEASED_TARGET_REPORT_MS = 125;
const LEASED_OTHER_REPORT_MS = 250;

/** A call that tells a decider takes no longer, in milliseconds. */
const SEND_TIMEOUT_MS = 500;

/** What the back end here is now. */
export interface LocalBackEnd {
  readonly service: string | undefined;
  readonly version: string | undefined;
  readonly isReady: boolean;
  readonly slots: number;
  /** Requests that run or wait. */
  readonly load: number;
}

/** What is needed of the node. */
export interface RolloutReporterContext {
  readonly clock: Clock;
  readonly rollouts: RolloutTracker;
  readonly election: RolloutElection;
  readonly caller: Pick<PeerClient, 'sendAnnouncement'>;
  readonly own: () => OwnerRecord;
  readonly backEnd: () => LocalBackEnd;
  /** True if all other owners of the service are known to have the version. */
  readonly isSoleVersion: (service: string, version: string) => boolean;
  /** This node is the decider itself. */
  readonly onLocalEvidence: (evidence: EvidenceReport) => void;
}

export interface RolloutReporter {
  /** The back end here has ended a request. */
  recordRun(run: BackEndRun): void;
  /** Tells the decider, if it is time to. */
  report(rollout: RunningRollout): void;
  /** Tells the decider now, of a phase that is new here. */
  reportPhaseChange(service: string): void;
  /** The decider's word on how many requests the back end here may get. */
  applyLimit(news: LimitMessage): void;
  /** Lets a request through to the back end here; undefined if an order gives it nothing more now. */
  acquirePermit(): RunPermit | undefined;
}

/** What is kept for an order that runs. */
interface OrderCounts {
  readonly generation: number;
  readonly countId: string;
  readonly counts: RunCounts;
  readonly gate: RunLimiter;
  readySince: number | undefined;
  reportedAt: number;
  reports: number;
}

export function createRolloutReporter(context: RolloutReporterContext): RolloutReporter {
  const { clock, rollouts, election, caller, own, backEnd, isSoleVersion, onLocalEvidence } =
    context;
  const kept = new Map<string, OrderCounts>();

  const countsOf = ({
    order: { service },
    generation,
  }: Pick<RunningRollout, 'order' | 'generation'>): OrderCounts => {
    const known = kept.get(service);
    if (known?.generation === generation) {
      return known;
    }
    const created: OrderCounts = {
      generation,
      countId: randomUUID(),
      counts: createRunCounts(),
      gate: createRunLimiter(),
      readySince: undefined,
      reportedAt: Number.NEGATIVE_INFINITY,
      reports: 0,
    };
    kept.set(service, created);
    return created;
  };

  const isFencedBy = (service: string, version: string | undefined): boolean => {
    const view = rollouts.view(service);
    if (!view || version === undefined || version === view.order.targetVersion) {
      return false;
    }
    const isCompleted = view.order.state === RolloutState.Completed;
    const isFenced = view.plan?.isFenced ?? true;
    return (
      isCompleted ||
      view.phase === RolloutPhase.Done ||
      (view.phase === RolloutPhase.Shift && isFenced)
    );
  };

  const send = (evidence: EvidenceReport): void => {
    const decider = election.leaderOf(evidence.service);
    if (!decider || decider.isLocal) {
      onLocalEvidence(evidence);
      return;
    }
    const content = encodeRolloutMessage(evidence);
    const news = { topic: AnnouncementTopic.Rollouts, content, shouldForward: false };
    void caller.sendAnnouncement(decider.record.address, news, SEND_TIMEOUT_MS).then((isTaken) => {
      if (!isTaken) {
        election.noteUnreachable(decider.record.node);
      }
    });
  };

  const paceMs = ({ phase, order }: RunningRollout, version: string | undefined): number => {
    if (version === order.targetVersion) {
      return isLeased(phase) ? LEASED_TARGET_REPORT_MS : TARGET_REPORT_MS;
    }
    return isLeased(phase) ? LEASED_OTHER_REPORT_MS : OTHER_REPORT_MS;
  };

  const reportNow = (rollout: RunningRollout): void => {
    const { order, phase, ageMs } = rollout;
    const { version, slots, load } = backEnd();
    const mine = countsOf(rollout);
    const { countId, counts, gate, readySince } = mine;
    const now = clock.now();
    mine.reportedAt = now;
    mine.reports += 1;
    send({
      kind: RolloutMessageKind.Evidence,
      service: order.service,
      orderId: order.id,
      ageMs,
      node: own().node,
      phase,
      countId,
      sequence: mine.reports,
      version,
      readyMs: readySince === undefined ? undefined : now - readySince,
      slots,
      load,
      isFenced: isFencedBy(order.service, version),
      taken: gate.taken,
      limit: gate.limit,
      counts: counts.countsFor(version),
    });
  };

  /** The order of the service that the back end here has, while it runs. */
  const ownRollout = (): RunningRollout | undefined => {
    const { service } = backEnd();
    return service === undefined ? undefined : rollouts.running(service);
  };

  /** The last request of a back end that is to stop: the decider waits for this word. */
  const reportIfIdle = (): void => {
    const { service, version, load } = backEnd();
    const rollout = ownRollout();
    if (rollout && service !== undefined && load === 0 && isFencedBy(service, version)) {
      reportNow(rollout);
    }
  };

  /**
   * Its limit holds until the deadline, also after the order is completed: the last limit is what the bound pays
   * for until then. An owner that has learnt of the order when it was completed has been told none, nor has one
   * yet whose version alone serves as the order comes.
   */
  const gateOf = (service: string, version: string | undefined): RunLimiter | undefined => {
    const view = rollouts.view(service);
    const isOfTarget = view !== undefined && version === view.order.targetVersion;
    if (!isOfTarget || view.ageMs >= view.order.durationMs) {
      return undefined;
    }
    if (hasEnded(view.order)) {
      const known = kept.get(service);
      const isCompleted = view.order.state === RolloutState.Completed;
      return isCompleted && known?.generation === view.generation ? known.gate : undefined;
    }
    const { gate } = countsOf(view);
    return gate.hasLimit || !isSoleVersion(service, view.order.targetVersion) ? gate : undefined;
  };

  return {
    recordRun: (run) => {
      const rollout = rollouts.running(run.service);
      if (rollout) {
        countsOf(rollout).counts.record(run, clock.now());
      }
    },
    report: (rollout) => {
      const { service, version, isReady } = backEnd();
      if (service !== rollout.order.service) {
        return;
      }
      const now = clock.now();
      const mine = countsOf(rollout);
      mine.readySince = isReady ? (mine.readySince ?? now) : undefined;
      if (now - mine.reportedAt >= paceMs(rollout, version)) {
        reportNow(rollout);
      }
    },
    reportPhaseChange: (service) => {
      const rollout = ownRollout();
      if (rollout?.order.service === service) {
        reportNow(rollout);
      }
    },
    applyLimit: ({ service, orderId, node, countId, limit, isUnlimited }) => {
      const view = rollouts.view(service);
      if (view?.order.id !== orderId || node !== own().node) {
        return;
      }
      const mine = countsOf(view);
      if (mine.countId === countId) {
        mine.gate.raiseLimit({ limit, isUnlimited });
      }
    },
    acquirePermit: () => {
      const { service, version } = backEnd();
      if (service === undefined) {
        return UNCONDITIONAL_PERMIT;
      }
      if (isFencedBy(service, version)) {
        return undefined;
      }
      const gate = gateOf(service, version);
      if (!gate) {
        return { finish: reportIfIdle };
      }
      return gate.tryAcquire()
        ? { finish: (hasArrived) => (hasArrived ? undefined : gate.release()) }
        : undefined;
    },
  };
}
