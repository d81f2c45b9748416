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
  /** A status was written, or the store did not take it. */
  noteWritten(order: RolloutOrder, state: RolloutState, result: 'ok' | StoreFailure): void;
}

/** What is kept for an order that runs. */
interface OrderWork {
  readonly orderId: string;
  readonly decider: RolloutDecider;
  toldAt: number;
  reason: string;
}

export function createRolloutSteering(context: RolloutSteeringContext): RolloutSteering {
  const { clock, book, election, directory, broadcast, own, contactMs, writer } = context;
  const works = new Map<string, OrderWork>();

  const workOf = ({ id, service, targetVersion }: RolloutOrder): OrderWork => {
    const known = works.get(service);
    if (known?.orderId === id) {
      return known;
    }
    const created: OrderWork = {
      orderId: id,
      decider: createRolloutDecider(clock, targetVersion),
      toldAt: Number.NEGATIVE_INFINITY,
      reason: '',
    };
    works.set(service, created);
    return created;
  };

  const tellPhase = (order: RolloutOrder, phase: RolloutPhase): void => {
    const work = workOf(order);
    work.toldAt = clock.now();
    const news: PhaseNews = {
      kind: RolloutNewsKind.Phase,
      service: order.service,
      orderId: order.id,
      phase,
      ageMs: book.running(order.service)?.ageMs ?? 0,
      versions: work.decider.versions,
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

  const carryOut = (rollout: RunningRollout, { phase }: RolloutStep, work: OrderWork): void => {
    const { order } = rollout;
    if (phase === RolloutPhase.Done) {
      writer().write(order, RolloutState.Completed);
    } else if (phase === RolloutPhase.Halt) {
      writer().write(order, RolloutState.RolledBack);
    }
    // Until the status is written, the other versions get nothing and wait for their end.
    const shown = phase === RolloutPhase.Done ? RolloutPhase.Shift : phase;
    const isUrgent = isLeased(shown) || shown === RolloutPhase.Halt;
    const paceMs = isUrgent ? LEASE_RENEWAL_MS : PHASE_RENEWAL_MS;
    if (shown !== rollout.phase || clock.now() - work.toldAt >= paceMs) {
      tellPhase(order, shown);
    }
  };

  return {
    takeEvidence: (evidence) => {
      const order = book.running(evidence.service)?.order;
      if (order?.id === evidence.orderId) {
        book.noteAge(evidence.service, evidence.orderId, evidence.ageMs);
        workOf(order).decider.take(evidence);
      }
    },
    steer: (rollout) => {
      const { order, phase } = rollout;
      const work = workOf(order);
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
function detailOf({ phase, reason, facts }: RolloutStep): Readonly<Record<string, unknown>> {
  const { comparison, phase: before, ...numbers } = facts;
  const rounded = Object.entries(numbers).map(([name, value]) => [
    name,
    value && Math.round(value),
  ]);
  return {
    before: RolloutPhase[before],
    phase: RolloutPhase[phase],
    reason,
    ...Object.fromEntries(rounded),
    ...comparison,
  };
}
