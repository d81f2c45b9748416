/** One node of a trial of a roll-out: the product's reporter, decider and shares. */

import type { OwnerDirectory } from '../src/directory/owner-directory.js';
import type { OwnerEntry } from '../src/directory/owner-entry.js';
import {
  createRolloutController,
  type RolloutController,
} from '../src/directory/rolloutController.js';
import { createRolloutReporter, type RolloutReporter } from '../src/directory/rolloutReporter.js';
import type { Clock } from '../src/model/clock.js';
import type { Announcement } from '../src/peer/peerClient.js';
import {
  decodeRolloutMessage,
  type PhaseMessage,
  RolloutMessageKind,
} from '../src/rollout/rolloutMessages.js';
import type { RolloutState } from '../src/rollout/rolloutOrder.js';
import { createRolloutTracker, type RolloutTracker } from '../src/rollout/rolloutTracker.js';
import { createVersionSelector, type VersionSelector } from '../src/rollout/versionSelector.js';

/** Bounds of the roll-outs of a trial. */
export const TRIAL_BOUNDS = { exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000 };

/** The service, the version that is rolled out, and the one that runs already. */
export const SERVICE = 'desk';
export const TARGET = 'v2';
export const OTHER = 'v1';

/** Step of the virtual time, and the interval of a node's reports and decisions, in milliseconds. */
export const STEP_MS = 10;
export const TICK_MS = 130;

/** Slots of each back end. */
export const SLOTS = 64;

const CONTACT_MS = 3_000;

/** One node with its back end. */
export interface TrialNode {
  readonly name: string;
  readonly version: string;
  readonly rollouts: RolloutTracker;
  readonly reporter: RolloutReporter;
  readonly steering: RolloutController;
  readonly shares: VersionSelector;
  /** Ticks at other moments than the others. */
  readonly phaseMs: number;
  running: number;
}

/** The rest of the trial. Times in milliseconds. */
export interface TrialNodeContext {
  readonly clock: Clock;
  readonly random: () => number;
  /** Names of all nodes. */
  readonly names: readonly string[];
  /** How late reports come, and words of the decider. */
  readonly reportMs: number;
  readonly wordMs: number;
  readonly isMute: (node: string, atMs: number) => boolean;
  readonly send: (to: string, content: unknown, delayMs: number) => void;
  readonly write: (state: RolloutState) => void;
  /** The state that is being written. */
  readonly pendingState: () => RolloutState | undefined;
  readonly applyPhase: (node: TrialNode, news: PhaseMessage) => void;
  readonly onDecision: (text: string) => void;
}

/** Version of a node's back end. */
export function versionOf(name: string): string {
  return name.startsWith('new') ? TARGET : OTHER;
}

/** Creates the nodes. The first one decides. */
export function createTrialNodes(context: TrialNodeContext): TrialNode[] {
  const { clock, random, names, reportMs, wordMs, isMute } = context;
  const { send, write, pendingState, applyPhase, onDecision } = context;
  const entries = names.map((node) => ({
    record: { node, address: node, zone: 'zone-a' },
    absenceReason: undefined,
    isLocal: false,
  })) as unknown as OwnerEntry[];
  const directory: Pick<OwnerDirectory, 'all' | 'ownersOf'> = {
    all: () => entries,
    ownersOf: () => entries,
  };
  const decider = entries[0] as OwnerEntry;

  return names.map((name) => {
    const rollouts = createRolloutTracker({ clock, staleMs: () => CONTACT_MS });
    rollouts.isSynced = true;
    const own = () => ({ node: name, address: name, zone: 'zone-a' }) as OwnerEntry['record'];
    const isLeader = name === decider.record.node;
    const election = {
      leaderOf: () => (isLeader ? ({ ...decider, isLocal: true } as OwnerEntry) : decider),
      isLeader: () => isLeader,
      noteUnreachable: () => {},
      noteResigned: () => {},
    };
    const caller = {
      sendAnnouncement: (address: string, { content }: Announcement) => {
        const isReport = decodeRolloutMessage(content)?.kind === RolloutMessageKind.Evidence;
        if (!isReport || !isMute(name, clock.now())) {
          send(address, content, isReport ? reportMs : wordMs);
        }
        return Promise.resolve(true);
      },
    };
    const node: TrialNode = {
      name,
      version: versionOf(name),
      rollouts,
      phaseMs: Math.floor((random() * TICK_MS) / STEP_MS) * STEP_MS,
      running: 0,
      reporter: createRolloutReporter({
        clock,
        rollouts,
        election,
        caller,
        own,
        backEnd: () => ({
          service: SERVICE,
          version: versionOf(name),
          isReady: true,
          slots: SLOTS,
          load: node.running,
        }),
        isSoleVersion: () => false,
        onLocalEvidence: (evidence) => node.steering.receiveEvidence(evidence),
      }),
      steering: createRolloutController({
        clock,
        rollouts,
        election,
        directory,
        broadcast: {
          publish: (_topic, content) => {
            for (const other of names.filter((each) => each !== name)) {
              send(other, content, wordMs);
            }
          },
        },
        caller,
        own,
        contactMs: () => CONTACT_MS,
        bounds: () => TRIAL_BOUNDS,
        writer: () => ({
          write: (_order, written) => write(written),
          pending: () => pendingState(),
        }),
        onPhase: (news) => applyPhase(node, news),
        onLocalLimit: (news) => node.reporter.applyLimit(news),
        onChange: ({ change, detail }) => {
          if (change === 'decision') {
            onDecision(`${detail.phase}: ${detail.reason} (${detail.taken} of ${detail.allowed})`);
          }
        },
      }),
      shares: createVersionSelector({
        clock,
        bounds: () => TRIAL_BOUNDS,
        applyMs: () => 0,
        owners: () => names.map((each) => ({ node: each, version: versionOf(each) })),
        nodes: () => names.length,
        random,
        view: rollouts.view,
        isSynced: () => true,
        withdrawn: rollouts.withdrawn,
      }),
    };
    return node;
  });
}
