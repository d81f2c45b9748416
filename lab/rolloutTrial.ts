/**
 * One order of a roll-out in virtual time: the product's owners, decider and shares, and chance in place of
 * sockets. What each version makes of its requests, how late reports come and how many requests there are is
 * set; what the version got, and when the order ended, is told.
 */

import type { OwnerDirectory } from '../src/directory/owner-directory.js';
import type { OwnerEntry } from '../src/directory/owner-entry.js';
import {
  createRolloutController,
  type RolloutController,
} from '../src/directory/rolloutController.js';
import { createRolloutReporter, type RolloutReporter } from '../src/directory/rolloutReporter.js';
import type { Announcement } from '../src/peer/peerClient.js';
import {
  decodeRolloutMessage,
  type PhaseMessage,
  RolloutMessageKind,
} from '../src/rollout/rolloutMessages.js';
import { type RolloutOrder, RolloutPhase, RolloutState } from '../src/rollout/rolloutOrder.js';
import { createRolloutTracker, type RolloutTracker } from '../src/rollout/rolloutTracker.js';
import { RunResult } from '../src/rollout/runCounts.js';
import type { RunPermit } from '../src/rollout/runLimiter.js';
import { createVersionSelector, type VersionSelector } from '../src/rollout/versionSelector.js';
import { seededRandom } from './random.js';

/** What a version makes of a request. */
export interface TrialFate {
  /** Share that fails. */
  readonly failing: number;
  /** How many times as long as usual it takes; 1 if left out. */
  readonly slowness?: number;
}

/** What a fate may depend on. */
export interface TrialRun {
  readonly route: number;
  readonly node: string;
  /** Milliseconds since the order. */
  readonly atMs: number;
  readonly phase: RolloutPhase;
}

/** All times in milliseconds. */
export interface RolloutTrial {
  readonly seed: number;
  /** Requests a second to the service, by route. */
  readonly perSecond: readonly number[];
  /** How many times as many come at a moment. */
  readonly crowd?: (atMs: number) => number;
  readonly durationMs?: number;
  /** Back ends of the version and of the other one. */
  readonly targets?: number;
  readonly others?: number;
  /** Reports come so late, words of the decider, and calls to the store. */
  readonly reportMs?: number;
  readonly wordMs?: number;
  readonly storeMs?: number;
  /** The middle of the durations; most lie within twice of it. */
  readonly serviceMs?: number;
  readonly target?: (run: TrialRun) => TrialFate;
  readonly other?: (run: TrialRun) => TrialFate;
  /** A node's reports do not come. */
  readonly isMute?: (node: string, atMs: number) => boolean;
}

export interface RolloutTrialResult {
  readonly state: RolloutState;
  /** When the status stood in the store; infinite if it never did. */
  readonly endedMs: number;
  /** From the order to its deadline: requests to the service, and those of them that the version got. */
  readonly requests: number;
  readonly exposed: number;
  /** What the version got as a part of what a bad one may, and whether that is more. */
  readonly boundShare: number;
  readonly isOver: boolean;
  /** True if it got all that was new at some time. */
  readonly gotAll: boolean;
  /** Requests that no back end took, and those that the others still ran at their end. */
  readonly refused: number;
  readonly cut: number;
  readonly phases: readonly string[];
}

export const TRIAL_BOUNDS = { exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000 };

const SERVICE = 'desk';
const TARGET = 'v2';
const OTHER = 'v1';
const STEP_MS = 10;
const TICK_MS = 130;
const SLOTS = 64;
const CONTACT_MS = 3_000;
/** The trial goes on for so long after the deadline. */
const AFTER_MS = 6_000;

interface Node {
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

interface Running {
  readonly node: Node;
  readonly passage: RunPermit;
  readonly route: number;
  readonly startedAt: number;
  readonly endsAt: number;
  readonly failed: boolean;
}

interface Message {
  readonly at: number;
  readonly to: string;
  readonly content: unknown;
}

export function playRollout(trial: RolloutTrial): RolloutTrialResult {
  const { targets = 3, others = 3, durationMs = 10_000, serviceMs = 20 } = trial;
  const { reportMs = 0, wordMs = 0, storeMs = 20 } = trial;
  const good = (): TrialFate => ({ failing: 0 });
  const { target = good, other = good, crowd = () => 1, isMute = () => false } = trial;
  const random = seededRandom(trial.seed);
  const endAt = durationMs + AFTER_MS;
  let now = 0;
  let state = RolloutState.Running;
  let endedMs = Number.POSITIVE_INFINITY;
  let writing: { readonly at: number; readonly state: RolloutState } | undefined;
  let messages: Message[] = [];
  let running: Running[] = [];
  const phases: string[] = [];
  const sums = { requests: 0, exposed: 0, refused: 0, cut: 0 };
  let gotAll = false;
  const clock = { now: () => now };
  const names = [
    ...Array.from({ length: others }, (_, index) => `old-${index}`),
    ...Array.from({ length: targets }, (_, index) => `new-${index}`),
  ];
  const versionOf = (name: string) => (name.startsWith('new') ? TARGET : OTHER);
  const order: RolloutOrder = {
    service: SERVICE,
    targetVersion: TARGET,
    durationMs,
    id: '1',
    state: undefined,
  };

  const send = (to: string, content: unknown, delayMs: number): void => {
    messages.push({ at: now + delayMs, to, content });
  };

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

  const write = (written: RolloutState): void => {
    writing ??= { at: now + storeMs, state: written };
  };

  const nodes: Node[] = names.map((name, index) => {
    const rollouts = createRolloutTracker({ clock, staleMs: () => CONTACT_MS });
    rollouts.isSynced = true;
    const own = () => ({ node: name, address: name, zone: 'zone-a' }) as OwnerEntry['record'];
    const isLeader = index === 0;
    const election = {
      leaderOf: () => (isLeader ? ({ ...decider, isLocal: true } as OwnerEntry) : decider),
      isLeader: () => isLeader,
      noteUnreachable: () => {},
      noteResigned: () => {},
    };
    const caller = {
      sendAnnouncement: (address: string, { content }: Announcement) => {
        const isReport = decodeRolloutMessage(content)?.kind === RolloutMessageKind.Evidence;
        if (!isReport || !isMute(name, now)) {
          send(address, content, isReport ? reportMs : wordMs);
        }
        return Promise.resolve(true);
      },
    };
    const node: Node = {
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
          pending: () => writing?.state,
        }),
        onPhase: (news) => takePhase(node, news),
        onLocalLimit: (news) => node.reporter.applyLimit(news),
        onChange: ({ change, detail }) => {
          if (change === 'decision') {
            phases.push(
              `${Math.round(now)} ${detail.phase}: ${detail.reason} (${detail.taken} of ${detail.allowed})`,
            );
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

  const takePhase = (node: Node, news: PhaseMessage): void => {
    if (node.rollouts.applyPhase(news)) {
      node.reporter.reportPhaseChange(SERVICE);
    }
  };

  const deliver = (): void => {
    const due = messages.filter(({ at }) => at <= now);
    messages = messages.filter(({ at }) => at > now);
    for (const { to, content } of due) {
      const node = nodes.find(({ name }) => name === to) as Node;
      const news = decodeRolloutMessage(content);
      if (news?.kind === RolloutMessageKind.Phase) {
        node.steering.noteLeader(SERVICE, news.leader);
        takePhase(node, news);
      } else if (news?.kind === RolloutMessageKind.Evidence) {
        node.steering.receiveEvidence(news);
      } else if (news?.kind === RolloutMessageKind.Limit) {
        node.reporter.applyLimit(news);
      }
    }
  };

  const tellStatus = (written: RolloutState): void => {
    for (const { rollouts } of nodes) {
      rollouts.applyOrder({ ...order, state: written });
    }
  };

  const settle = (): void => {
    if (!writing || now < writing.at || state !== RolloutState.Running) {
      return;
    }
    const written = writing.state;
    writing = undefined;
    if (written === RolloutState.Running) {
      tellStatus(written);
      nodes[0]?.steering.noteWritten(order, written, 'ok', storeMs);
      return;
    }
    state = written;
    endedMs = now;
    if (state === RolloutState.Completed) {
      sums.cut = running.filter(({ node }) => node.version === OTHER).length;
      running = running.filter(({ node }) => node.version === TARGET);
    }
    tellStatus(written);
  };

  const duration = () => {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return serviceMs * Math.exp(0.4 * normal);
  };

  const start = (node: Node, passage: RunPermit, route: number): void => {
    const isTarget = node.version === TARGET;
    const phase = nodes[0]?.rollouts.running(SERVICE)?.phase ?? RolloutPhase.Done;
    const run = { route, node: node.name, atMs: now, phase };
    const { failing, slowness = 1 } = (isTarget ? target : other)(run);
    node.running += 1;
    sums.exposed += isTarget && now < durationMs ? 1 : 0;
    running.push({
      node,
      passage,
      route,
      startedAt: now,
      endsAt: now + duration() * slowness,
      failed: random() < failing,
    });
  };

  const arrive = (route: number): void => {
    const ingress = nodes[Math.floor(random() * others)] as Node;
    const share = ingress.shares.select(SERVICE, String(route));
    sums.requests += now < durationMs ? 1 : 0;
    const tried = new Set<Node>();
    for (;;) {
      const { preferred, fallback = () => true } = share;
      const isUp = ({ version }: Node) => version === TARGET || state !== RolloutState.Completed;
      const able = nodes.filter((node) => !tried.has(node) && isUp(node) && node.running < SLOTS);
      const first = preferred ? able.filter(({ name }) => preferred(name)) : [];
      const asked = first.length > 0 ? first : able.filter(({ name }) => fallback(name));
      const node = asked[Math.floor(random() * asked.length)];
      if (!node) {
        sums.refused += 1;
        return;
      }
      tried.add(node);
      share.noteOffer(node.name);
      const passage = node.reporter.acquirePermit();
      if (passage) {
        start(node, passage, route);
        return;
      }
      share.noteUndelivered(node.name);
    }
  };

  const end = ({ node, passage, route, startedAt, failed }: Running): void => {
    node.running -= 1;
    node.reporter.recordRun({
      service: SERVICE,
      version: node.version,
      route: String(route),
      result: failed ? RunResult.Failed : RunResult.Answered,
      tookMs: now - startedAt,
      isCold: false,
    });
    passage.finish(true);
  };

  for (const { rollouts } of nodes) {
    rollouts.applyOrder(order);
  }
  for (; now < endAt && (state === RolloutState.Running || now <= durationMs); now += STEP_MS) {
    deliver();
    settle();
    const ended = running.filter(({ endsAt }) => endsAt <= now);
    running = running.filter(({ endsAt }) => endsAt > now);
    ended.forEach(end);
    trial.perSecond.forEach((perSecond, route) => {
      const expected = (perSecond * crowd(now) * STEP_MS) / 1_000;
      for (let left = expected; left > 0; left -= 1) {
        if (random() < left) {
          arrive(route);
        }
      }
    });
    for (const node of nodes) {
      node.rollouts.markSynced();
      if (now % TICK_MS === node.phaseMs % TICK_MS) {
        const rollout = node.rollouts.running(SERVICE);
        if (rollout) {
          node.reporter.report(rollout);
        }
        if (rollout && node === nodes[0]) {
          node.steering.reconcile(rollout);
        }
      }
      gotAll ||= node.rollouts.running(SERVICE)?.phase === RolloutPhase.Shift;
    }
  }
  const { exposureShare, exposureSlack } = TRIAL_BOUNDS;
  const boundShare = sums.exposed / (sums.requests * exposureShare + exposureSlack);
  return { state, endedMs, ...sums, boundShare, isOver: boundShare > 1, gotAll, phases };
}
