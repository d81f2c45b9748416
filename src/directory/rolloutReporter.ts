/** An owner's part in a roll-out: it tells the decider what its back end has made of its requests. */
import type { Clock } from '../model/clock.js';
import type { PeerCaller } from '../peer/peerCaller.js';
import { NewsTopic } from '../peer/peerMessages.js';
import type { RolloutBook, RunningRollout } from '../rollout/rolloutBook.js';
import { type EvidenceNews, listOfRolloutNews, RolloutNewsKind } from '../rollout/rolloutNews.js';
import { isLeased, RolloutPhase, RolloutState } from '../rollout/rolloutOrder.js';
import { type BackEndRun, createRunCounts, type RunCounts } from '../rollout/runCounts.js';
import type { OwnerRecord } from './owner-entry.js';
import type { RolloutElection } from './rolloutElection.js';

/**
 * Reports of the owners with the target version, and of the others, which have many more requests to
 * tell of: each costs a connection to the decider.
 */
const TARGET_REPORT_MS = 500;
const OTHER_REPORT_MS = 1_000;

/** A call that tells a decider takes no longer, in milliseconds. */
const TELL_TIMEOUT_MS = 500;

/** What the back end here is now. */
export interface OwnBackEnd {
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
  readonly book: RolloutBook;
  readonly election: RolloutElection;
  readonly caller: PeerCaller;
  readonly own: () => OwnerRecord;
  readonly backEnd: () => OwnBackEnd;
  /** This node is the decider itself. */
  readonly onOwnEvidence: (evidence: EvidenceNews) => void;
}

export interface RolloutReporter {
  /** The back end here has ended a request. */
  noteRun(run: BackEndRun): void;
  /** Tells the decider, if it is time to. */
  report(rollout: RunningRollout): void;
  /** True while the back end here is to finish what it runs and to get nothing new. */
  readonly isFenced: boolean;
}

/** What is kept for an order that runs. */
interface OrderCounts {
  readonly orderId: string;
  readonly counts: RunCounts;
  readySince: number | undefined;
  reportedAt: number;
}

export function createRolloutReporter(context: RolloutReporterContext): RolloutReporter {
  const { clock, book, election, caller, own, backEnd, onOwnEvidence } = context;
  const kept = new Map<string, OrderCounts>();

  const countsOf = ({ id, service }: RunningRollout['order']): OrderCounts => {
    const known = kept.get(service);
    if (known?.orderId === id) {
      return known;
    }
    const created: OrderCounts = {
      orderId: id,
      counts: createRunCounts(),
      readySince: undefined,
      reportedAt: Number.NEGATIVE_INFINITY,
    };
    kept.set(service, created);
    return created;
  };

  const isFencedBy = (service: string, version: string | undefined): boolean => {
    const view = book.view(service);
    if (!view || version === undefined || version === view.order.targetVersion) {
      return false;
    }
    const isCompleted = view.order.state === RolloutState.Completed;
    return isCompleted || view.phase === RolloutPhase.Shift || view.phase === RolloutPhase.Done;
  };

  const send = (evidence: EvidenceNews): void => {
    const decider = election.deciderOf(evidence.service);
    if (!decider || decider.isLocal) {
      onOwnEvidence(evidence);
      return;
    }
    const content = listOfRolloutNews(evidence);
    const news = { topic: NewsTopic.RollOuts, content, passesOn: false };
    void caller.tell(decider.record.address, news, TELL_TIMEOUT_MS).then((isTaken) => {
      if (!isTaken) {
        election.noteDeaf(decider.record.node);
      }
    });
  };

  return {
    noteRun: (run) => {
      const rollout = book.running(run.service);
      if (rollout) {
        countsOf(rollout.order).counts.note(run, clock.now());
      }
    },
    report: ({ order, phase, ageMs }) => {
      const { service, version, isReady, slots, load } = backEnd();
      if (service !== order.service) {
        return;
      }
      const now = clock.now();
      const mine = countsOf(order);
      mine.readySince = isReady ? (mine.readySince ?? now) : undefined;
      const isTarget = version === order.targetVersion;
      const paceMs = isTarget || isLeased(phase) ? TARGET_REPORT_MS : OTHER_REPORT_MS;
      if (now - mine.reportedAt < paceMs) {
        return;
      }
      mine.reportedAt = now;
      send({
        kind: RolloutNewsKind.Evidence,
        service,
        orderId: order.id,
        ageMs,
        node: own().node,
        version,
        readyMs: mine.readySince === undefined ? undefined : now - mine.readySince,
        slots,
        load,
        isFenced: isFencedBy(service, version),
        counts: mine.counts.of(version),
      });
    },
    get isFenced() {
      const { service, version } = backEnd();
      return service !== undefined && isFencedBy(service, version);
    },
  };
}
