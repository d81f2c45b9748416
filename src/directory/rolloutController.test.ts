/** What a decider tells and writes, without a network: one of two that decide yields, and no phase is taken back. */
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

/** A node by rank that is told by half of the owners. */
function setUp(name: string) {
  let now = 0;
  let pending: RolloutState | undefined;
  const clock = { now: () => now };
  const rollouts = createRolloutTracker({ clock, staleMs: () => 3_000 });
  const told: PhaseMessage[] = [];
  const passedOn: string[] = [];
  const entries = [FIRST, SECOND].map((node) => ({
    record: { node, address: node, zone: 'zone-a' },
    absenceReason: undefined,
    isLocal: node === name,
  })) as unknown as OwnerEntry[];
  const own = entries.find(({ isLocal }) => isLocal) as OwnerEntry;
  const steering = createRolloutController({
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
          passedOn.push(address);
        }
        return Promise.resolve(true);
      },
    },
    own: () => own.record,
    contactMs: () => 3_000,
    bounds: () => ({ exposureShare: 0.1, exposureSlack: 50 }),
    writer: () => ({ write: () => {}, pending: () => pending }),
    onPhase: (news) => {
      told.push(news);
      rollouts.applyPhase(news);
    },
    onLocalLimit: () => {},
    onChange: () => {},
  });
  rollouts.applyOrder(ORDER);
  const steer = () => {
    const rollout = rollouts.running('desk');
    if (rollout) {
      steering.reconcile(rollout);
    }
  };
  return {
    steering,
    rollouts,
    told,
    passedOn,
    steer,
    pass: (ms: number) => {
      now += ms;
    },
    write: (state: RolloutState) => {
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

describe('two nodes that both decide', () => {
  // They took back each other's phases, and a good version was late: half of the owners told each of them.
  it('leaves the phases to the first by rank, and passes on what it is told', () => {
    const { steering, steer, told, passedOn } = setUp(SECOND);
    steering.noteLeader('desk', FIRST);
    steering.receiveEvidence(EVIDENCE);
    steer();
    expect(told).toEqual([]);
    expect(passedOn).toEqual([FIRST]);
  });

  it('decides as the first by rank, though the second has told a phase', () => {
    const { steering, steer, told, passedOn } = setUp(FIRST);
    steering.noteLeader('desk', SECOND);
    steering.receiveEvidence(EVIDENCE);
    steer();
    expect(told.map(({ phase }) => phase)).toEqual([RolloutPhase.Watch]);
    expect(passedOn).toEqual([]);
  });

  it('decides again when the other is silent for a while, or resigns', () => {
    const silent = setUp(SECOND);
    silent.steering.noteLeader('desk', FIRST);
    silent.pass(2_600);
    silent.steer();
    expect(silent.told.length).toBe(1);
    const resigned = setUp(SECOND);
    resigned.steering.noteLeader('desk', FIRST);
    resigned.steering.noteResigned('desk', FIRST);
    resigned.steer();
    expect(resigned.told.length).toBe(1);
  });
});

// The others may be stopped as soon as the write arrives: what went back to them was cut.
it('gives the others nothing new while the status of completion is being written', () => {
  const { rollouts, steering, steer, told, write } = setUp(FIRST);
  const phase = { service: 'desk', orderId: '1', ageMs: 0, versions: [] };
  steering.receiveEvidence(EVIDENCE);
  rollouts.applyPhase({ ...phase, phase: RolloutPhase.Shift });
  write(RolloutState.Completed);
  steer();
  expect(told.filter((news) => news.phase === RolloutPhase.Watch)).toEqual([]);
  expect(rollouts.running('desk')?.phase).toBe(RolloutPhase.Shift);
});
