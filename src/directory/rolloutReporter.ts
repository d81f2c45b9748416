/**
 * An owner's part in a roll-out: it reports the outcomes of its back end's requests to the leader,
 * and lets requests through to the back end within the limit that the leader sends.
 */
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
 * Report intervals in milliseconds of the owners with the target version and of the others. There
 * are many more of the others, and each needs a connection to the leader.
 */
const TARGET_REPORT_MS = 500;
const OTHER_REPORT_MS = 1_000;

/**
 * Report intervals in milliseconds during leased phases, which are short. The other owners also
 * report when their last request has ended.
 */
const LEASED_TARGET_REPORT_MS = 125;
const LEASED_OTHER_REPORT_MS = 250;

/** Timeout in milliseconds of sending a report to the leader. */
const SEND_TIMEOUT_MS = 500;

/** Current state of this node's back end. */
export interface LocalBackEnd {
  readonly service: string | undefined;
  readonly version: string | undefined;
  readonly isReady: boolean;
  readonly slots: number;
  /** Number of requests that run or wait. */
  readonly load: number;
}

/** Dependencies on the rest of the node. */
export interface RolloutReporterContext {
  readonly clock: Clock;
  readonly rollouts: RolloutTracker;
  readonly election: RolloutElection;
  readonly caller: Pick<PeerClient, 'sendAnnouncement'>;
  readonly own: () => OwnerRecord;
  readonly backEnd: () => LocalBackEnd;
  /**
   * True if at least two owners of the service are up and all that are up have the version, by
   * their own reports or the leader's announcements.
   */
  readonly isSoleVersion: (service: string, version: string) => boolean;
  /** Receives the reports if this node is the leader. */
  readonly onLocalEvidence: (evidence: EvidenceReport) => void;
}

export interface RolloutReporter {
  /** Records the outcome of a request to this node's back end. */
  recordRun(run: BackEndRun): void;
  /** Sends a report to the leader, if one is due. */
  report(rollout: RunningRollout): void;
  /** Sends a report at once, since this node has applied a new phase. */
  reportPhaseChange(service: string): void;
  /** Applies the leader's limit on the requests that this node's back end may receive. */
  applyLimit(message: LimitMessage): void;
  /** A permit for one request to this node's back end; undefined if an order allows none now. */
  acquirePermit(): RunPermit | undefined;
}

/** State of an order; `countId` identifies the counts to the leader. */
interface OrderCounts {
  readonly generation: number;
  readonly countId: string;
  readonly counts: RunCounts;
  readonly limiter: RunLimiter;
  readySince: number | undefined;
  reportedAt: number;
  reports: number;
}

export function createRolloutReporter(context: RolloutReporterContext): RolloutReporter {
  const { clock, rollouts, election, caller, own, backEnd, isSoleVersion, onLocalEvidence } =
    context;
  const countsByService = new Map<string, OrderCounts>();

  const countsOf = ({
    order: { service },
    generation,
  }: Pick<RunningRollout, 'order' | 'generation'>): OrderCounts => {
    const existing = countsByService.get(service);
    if (existing?.generation === generation) {
      return existing;
    }
    const created: OrderCounts = {
      generation,
      countId: randomUUID(),
      counts: createRunCounts(),
      limiter: createRunLimiter(),
      readySince: undefined,
      reportedAt: Number.NEGATIVE_INFINITY,
      reports: 0,
    };
    countsByService.set(service, created);
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
    const leader = election.leaderOf(evidence.service);
    if (!leader || leader.isLocal) {
      onLocalEvidence(evidence);
      return;
    }
    const content = encodeRolloutMessage(evidence);
    const announcement = { topic: AnnouncementTopic.Rollouts, content, shouldForward: false };
    void caller
      .sendAnnouncement(leader.record.address, announcement, SEND_TIMEOUT_MS)
      .then((isAccepted) => {
        if (!isAccepted) {
          election.noteUnreachable(leader.record.node);
        }
      });
  };

  const intervalMs = ({ phase, order }: RunningRollout, version: string | undefined): number => {
    if (version === order.targetVersion) {
      return isLeased(phase) ? LEASED_TARGET_REPORT_MS : TARGET_REPORT_MS;
    }
    return isLeased(phase) ? LEASED_OTHER_REPORT_MS : OTHER_REPORT_MS;
  };

  const reportNow = (rollout: RunningRollout): void => {
    const { order, phase, ageMs } = rollout;
    const { version, slots, load } = backEnd();
    const current = countsOf(rollout);
    const { countId, counts, limiter, readySince } = current;
    const now = clock.now();
    current.reportedAt = now;
    current.reports += 1;
    send({
      kind: RolloutMessageKind.Evidence,
      service: order.service,
      orderId: order.id,
      ageMs,
      node: own().node,
      phase,
      countId,
      sequence: current.reports,
      version,
      readyMs: readySince === undefined ? undefined : now - readySince,
      slots,
      load,
      isFenced: isFencedBy(order.service, version),
      taken: limiter.taken,
      limit: limiter.limit,
      counts: counts.countsFor(version),
    });
  };

  /** The running order of this back end's service, if any. */
  const localRollout = (): RunningRollout | undefined => {
    const { service } = backEnd();
    return service === undefined ? undefined : rollouts.running(service);
  };

  /** Reports that a fenced back end has ended its last request: the leader waits for that. */
  const reportIfIdle = (): void => {
    const { service, version, load } = backEnd();
    const rollout = localRollout();
    if (rollout && service !== undefined && load === 0 && isFencedBy(service, version)) {
      reportNow(rollout);
    }
  };

  /**
   * The limiter of the target version's back end; undefined if no limit applies. A limit applies
   * until the order's age reaches `durationMs`, even after completion, because the exposure bound
   * covers no more than the last limit until then. No limit applies to an owner that first reads
   * the order when it is completed, nor, before the first limit arrives, to an owner whose version
   * is the only one in service.
   */
  const limiterFor = (service: string, version: string | undefined): RunLimiter | undefined => {
    const view = rollouts.view(service);
    const isOfTarget = view !== undefined && version === view.order.targetVersion;
    if (!isOfTarget || view.ageMs >= view.order.durationMs) {
      return undefined;
    }
    if (hasEnded(view.order)) {
      const existing = countsByService.get(service);
      const isCompleted = view.order.state === RolloutState.Completed;
      return isCompleted && existing?.generation === view.generation ? existing.limiter : undefined;
    }
    const { limiter } = countsOf(view);
    return limiter.hasLimit || !isSoleVersion(service, view.order.targetVersion)
      ? limiter
      : undefined;
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
      const current = countsOf(rollout);
      current.readySince = isReady ? (current.readySince ?? now) : undefined;
      if (now - current.reportedAt >= intervalMs(rollout, version)) {
        reportNow(rollout);
      }
    },
    reportPhaseChange: (service) => {
      const rollout = localRollout();
      if (rollout?.order.service === service) {
        reportNow(rollout);
      }
    },
    applyLimit: ({ service, orderId, node, countId, limit, isUnlimited }) => {
      const view = rollouts.view(service);
      if (view?.order.id !== orderId || node !== own().node) {
        return;
      }
      const current = countsOf(view);
      if (current.countId === countId) {
        current.limiter.raiseLimit({ limit, isUnlimited });
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
      const limiter = limiterFor(service, version);
      if (!limiter) {
        return { finish: reportIfIdle };
      }
      return limiter.tryAcquire()
        ? { finish: (hasArrived) => (hasArrived ? undefined : limiter.release()) }
        : undefined;
    },
  };
}
