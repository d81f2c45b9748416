/**
 * Phases published by a leader, without a network. Guards against two nodes that both act as the
 * leader and revert each other's phases, and against a phase that is reverted during completion.
 */
import { describe, expect, it } from 'vitest';
import { rankNames } from '../model/rendezvous.js';
import {
  decodeRolloutMessage,
  type EvidenceReport,
  type PhaseMessage,
  RolloutMessageKind,
} from '../rollout/rolloutMessages.js';
import { type RolloutOrder, RolloutPhase, RolloutState } from '../rollout/rolloutOrder.js';
import { createRolloutTracker } from '../rollout/rolloutTracker.js';
import type { OwnerEntry } from './owner-entry.js';
import { createRolloutController } from './rolloutController.js';

const [FIRST = '', SECOND = ''] = rankNames('rollout/desk', ['node-1', 'node-2']);
const ORDER: RolloutOrder = {
  service: 'desk',
  targetVersion: 'v2',
  durationMs: 10_000,
  id: '1',
  state: RolloutState.Running,
};

/** One of two nodes; its election always names it as the leader, as if half of the owners did. */
function setUp(name: string) {
  let now = 0;
  let pending: RolloutState | undefined;
  const clock = { now: () => now };
  const rollouts = createRolloutTracker({ clock, staleMs: () => 3_000 });
  const published: PhaseMessage[] = [];
  const forwardedTo: string[] = [];
  const entries = [FIRST, SECOND].map((node) => ({
    record: { node, address: node, zone: 'zone-a' },
    absenceReason: undefined,
    isLocal: node === name,
  })) as unknown as OwnerEntry[];
  const own = entries.find(({ isLocal }) => isLocal) as OwnerEntry;
  const controller = createRolloutController({
    clock,
    rollouts,
    election: {
      leaderOf: () => own,
      isLeader: () => true,
      noteUnreachable: () => {},
      noteResigned: () => {},
    },
    directory: { all: () => entries, ownersOf: () => entries },
    broadcast: { publish: () => {} },
    caller: {
      sendAnnouncement: (address, { content }) => {
        if (decodeRolloutMessage(content)?.kind === RolloutMessageKind.Evidence) {
          forwardedTo.push(address);
        }
        return Promise.resolve(true);
      },
    },
    own: () => own.record,
    contactMs: () => 3_000,
    bounds: () => ({ exposureShare: 0.1, exposureSlack: 50 }),
    writer: () => ({ write: () => {}, pending: () => pending }),
    onPhase: (message) => {
      published.push(message);
      rollouts.applyPhase(message);
    },
    onLocalLimit: () => {},
    onChange: () => {},
  });
  rollouts.applyOrder(ORDER);
  const reconcile = () => {
    const rollout = rollouts.running('desk');
    if (rollout) {
      controller.reconcile(rollout);
    }
  };
  return {
    controller,
    rollouts,
    published,
    forwardedTo,
    reconcile,
    advance: (ms: number) => {
      now += ms;
    },
    setPending: (state: RolloutState) => {
      pending = state;
    },
  };
}

const EVIDENCE: EvidenceReport = {
  kind: RolloutMessageKind.Evidence,
  service: 'desk',
  orderId: '1',
  ageMs: 0,
  node: FIRST,
  phase: RolloutPhase.Watch,
  countId: '1',
  sequence: 1,
  version: 'v2',
  readyMs: 0,
  slots: 8,
  load: 0,
  isFenced: false,
  taken: 0,
  limit: 0,
  counts: new Map(),
};

// Half of the owners reported to each node. The nodes reverted each other's phases, which delayed
// the roll-out of a good version.
describe('when two nodes both act as the leader', () => {
  it('the second by rank publishes no phase and forwards its reports to the first', () => {
    const { controller, reconcile, published, forwardedTo } = setUp(SECOND);
    controller.noteLeader('desk', FIRST);
    controller.receiveEvidence(EVIDENCE);
    reconcile();
    expect(published).toEqual([]);
    expect(forwardedTo).toEqual([FIRST]);
  });

  it('the first by rank decides although the second has published a phase', () => {
    const { controller, reconcile, published, forwardedTo } = setUp(FIRST);
    controller.noteLeader('desk', SECOND);
    controller.receiveEvidence(EVIDENCE);
    reconcile();
    expect(published.map(({ phase }) => phase)).toEqual([RolloutPhase.Watch]);
    expect(forwardedTo).toEqual([]);
  });

  it('the second decides again when the first is silent for 2.5 s or resigns', () => {
    const silent = setUp(SECOND);
    silent.controller.noteLeader('desk', FIRST);
    silent.advance(2_600);
    silent.reconcile();
    expect(silent.published.length).toBe(1);
    const resigned = setUp(SECOND);
    resigned.controller.noteLeader('desk', FIRST);
    resigned.controller.noteResigned('desk', FIRST);
    resigned.reconcile();
    expect(resigned.published.length).toBe(1);
  });
});

// The other versions may be stopped as soon as the status arrives in the store. Requests that were
// sent to them again during the write were cut off.
it('does not go back to the Watch phase while the completed status is being written', () => {
  const { rollouts, controller, reconcile, published, setPending } = setUp(FIRST);
  const phase = { service: 'desk', orderId: '1', ageMs: 0, versions: [] };
  controller.receiveEvidence(EVIDENCE);
  rollouts.applyPhase({ ...phase, phase: RolloutPhase.Shift });
  setPending(RolloutState.Completed);
  reconcile();
  expect(published.filter((message) => message.phase === RolloutPhase.Watch)).toEqual([]);
  expect(rollouts.running('desk')?.phase).toBe(RolloutPhase.Shift);
});
