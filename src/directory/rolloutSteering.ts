/** The decider's part in a roll-out: takes the owners' reports, tells the phases, writes the status. */
import type { Clock } from '../model/clock.js';
import { NewsTopic } from '../peer/peerMessages.js';
import { hasEnded, type RolloutBook, type RunningRollout } from '../rollout/rolloutBook.js';
import {
  createRolloutDecider,
  type RolloutDecider,
  type RolloutStep,
} from '../rollout/rolloutDecider.js';
import {
  type EvidenceNews,
  listOfRolloutNews,
  type PhaseNews,
  RolloutNewsKind,
} from '../rollout/rolloutNews.js';
import {
  isLeased,
  type RolloutOrder,
  RolloutPhase,
  RolloutState,
} from '../rollout/rolloutOrder.js';
import type { StoreFailure } from '../source/object-store.js';
import type { NewsBroadcast } from './newsBroadcast.js';
import type { OwnerDirectory } from './owner-directory.js';
import type { OwnerRecord } from './owner-entry.js';
import type { RolloutElection } from './rolloutElection.js';
import type { RolloutStatusWriter } from './rolloutStatus.js';

/** A phase that lapses is told again so often, the others so that nodes know that the decider lives. */
const LEASE_RENEWAL_MS = 500;
const PHASE_RENEWAL_MS = 2_000;

/** Versions that this node has heard of since are told on after this time, in milliseconds: one report each. */
const VERSION_RENEWAL_MS = 500;

/** What changed, for the log. */
export interface RolloutChange {
  readonly service: string;
  readonly change: string;
  readonly detail: Readonly<Record<string, unknown>>;
}

/** What is needed of the node. */
export interface RolloutSteeringContext {
  readonly clock: Clock;
  readonly book: RolloutBook;
  readonly election: RolloutElection;
  readonly directory: OwnerDirectory;
  readonly broadcast: NewsBroadcast;
  readonly own: () => OwnerRecord;
  readonly contactMs: () => number;
  readonly writer: () => RolloutStatusWriter;
  /** A phase is told to all nodes: this one is to take it too. */
  readonly onPhase: (news: PhaseNews) => void;
  readonly onChange: (change: RolloutChange) => void;
}

export interface RolloutSteering {
  takeEvidence(evidence: EvidenceNews): void;
  /** Decides and carries out, if that falls to this node. */
  steer(rollout: RunningRollout): void;
  /** An order is gone: what is known of the versions is told once more, since its version gets nothing now. */
  noteRemoved(order: RolloutOrder): void;
  /** A status was written, or the store did not take it. */
  noteWritten(order: RolloutOrder, state: RolloutState, result: 'ok' | StoreFailure): void;
}

/** What is kept for an order that runs. */
interface OrderWork {
  readonly begun: number;
  readonly decider: RolloutDecider;
  toldAt: number;
  /** Owners whose version has been told with it. */
  toldVersions: number;
  reason: string;
}

export function createRolloutSteering(context: RolloutSteeringContext): RolloutSteering {
  const { clock, book, election, directory, broadcast, own, contactMs, writer } = context;
  const works = new Map<string, OrderWork>();

  const workOf = ({ order, begun }: RunningRollout): OrderWork => {
    const { service, targetVersion } = order;
    const known = works.get(service);
    if (known?.begun === begun) {
      return known;
    }
    const created: OrderWork = {
      begun,
      decider: createRolloutDecider(clock, targetVersion),
      toldAt: Number.NEGATIVE_INFINITY,
      toldVersions: 0,
      reason: '',
    };
    works.set(service, created);
    return created;
  };

  const tellPhase = (order: RolloutOrder, phase: RolloutPhase): void => {
    const work = works.get(order.service);
    const versions = work?.decider.versions ?? [];
    if (work) {
      work.toldAt = clock.now();
      work.toldVersions = versions.length;
    }
    const news: PhaseNews = {
      kind: RolloutNewsKind.Phase,
      service: order.service,
      orderId: order.id,
      phase,
      ageMs: book.running(order.service)?.ageMs ?? 0,
      versions,
    };
    context.onPhase(news);
    broadcast.tell(NewsTopic.RollOuts, listOfRolloutNews(news));
  };

  /** Another node is to decide: the store refuses this one's writes. */
  const resign = (service: string): void => {
    const { node } = own();
    const kind = RolloutNewsKind.Resignation;
    election.noteResigned(service, node);
    broadcast.tell(NewsTopic.RollOuts, listOfRolloutNews({ kind, service, node }));
  };

  const ownersOf = (service: string) => ({
    up: directory
      .ownersOf(service)
      .filter(({ absence }) => !absence)
      .map(({ record }) => record.node),
    contactMs: contactMs(),
  });

  const renewalMs = (phase: RolloutPhase, { decider, toldVersions }: OrderWork): number => {
    if (isLeased(phase) || phase === RolloutPhase.Halt) {
      return LEASE_RENEWAL_MS;
    }
    return decider.versions.length > toldVersions ? VERSION_RENEWAL_MS : PHASE_RENEWAL_MS;
  };

  const carryOut = (rollout: RunningRollout, { phase }: RolloutStep, work: OrderWork): void => {
    const { order } = rollout;
    if (phase === RolloutPhase.Done) {
      writer().write(order, RolloutState.Completed);
    } else if (phase === RolloutPhase.Halt) {
      writer().write(order, RolloutState.RolledBack);
    }
    // Until the status is written, the other versions get nothing and wait for their end.
    const shown = phase === RolloutPhase.Done ? RolloutPhase.Shift : phase;
    if (shown !== rollout.phase || clock.now() - work.toldAt >= renewalMs(shown, work)) {
      tellPhase(order, shown);
    }
  };

  return {
    takeEvidence: (evidence) => {
      const rollout = book.running(evidence.service);
      if (rollout?.order.id === evidence.orderId) {
        book.noteAge(evidence.service, evidence.orderId, evidence.ageMs);
        workOf(rollout).decider.take(evidence);
      }
    },
    steer: (rollout) => {
      const { order, phase } = rollout;
      const work = workOf(rollout);
      const owners = ownersOf(order.service);
      if (!election.isDecider(order.service) && !work.decider.isTold(owners)) {
        return;
      }
      if (order.state === undefined) {
        writer().write(order, RolloutState.Running);
      }
      const step = work.decider.step(rollout, owners);
      if (step.reason !== work.reason || step.phase !== phase) {
        work.reason = step.reason;
        context.onChange({ service: order.service, change: 'decision', detail: detailOf(step) });
      }
      carryOut(rollout, step, work);
    },
    noteRemoved: (order) => {
      const work = works.get(order.service);
      if (work && election.isDecider(order.service)) {
        // Watch is the least that a node which still holds the order may give the version.
        tellPhase(order, RolloutPhase.Watch);
      }
      works.delete(order.service);
    },
    noteWritten: (order, state, result) => {
      const { service, targetVersion } = order;
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

/** A decision's inputs, for the log. */
function detailOf(step: RolloutStep): Readonly<Record<string, unknown>> {
  const { phase, reason, facts, newestEvidenceMs, oldestEvidenceMs } = step;
  const { comparison, phase: before, ...numbers } = facts;
  const rounded = Object.entries({ ...numbers, newestEvidenceMs, oldestEvidenceMs }).map(
    ([name, value]) => [name, value && Math.round(value)],
  );
  return {
    before: RolloutPhase[before],
    phase: RolloutPhase[phase],
    reason,
    ...Object.fromEntries(rounded),
    ...comparison,
  };
}
