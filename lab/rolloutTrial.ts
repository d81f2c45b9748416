/**
 * One order of a roll-out in virtual time: the product's owners, decider and shares, and chance in place of
 * sockets. What each version makes of its requests, how late reports come and how many requests there are is
 * set; what the version got, and when the order ended, is told.
 */

import {
  decodeRolloutMessage,
  type PhaseMessage,
  RolloutMessageKind,
} from '../src/rollout/rolloutMessages.js';
import { type RolloutOrder, RolloutPhase, RolloutState } from '../src/rollout/rolloutOrder.js';
import { RunResult } from '../src/rollout/runCounts.js';
import type { RunPermit } from '../src/rollout/runLimiter.js';
import { seededRandom } from './random.js';
import {
  createTrialNodes,
  OTHER,
  SERVICE,
  SLOTS,
  STEP_MS,
  TARGET,
  TICK_MS,
  TRIAL_BOUNDS,
  type TrialNode,
} from './rolloutTrialNode.js';
import type { RolloutTrial, RolloutTrialResult, TrialFate } from './rolloutTrialPlan.js';

/** The trial goes on for so long after the deadline. */
const AFTER_MS = 6_000;

interface Running {
  readonly node: TrialNode;
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

  const write = (written: RolloutState): void => {
    writing ??= { at: now + storeMs, state: written };
  };

  const nodes = createTrialNodes({
    clock,
    random,
    names,
    reportMs,
    wordMs,
    isMute,
    send,
    write,
    pendingState: () => writing?.state,
    applyPhase: (node, news) => takePhase(node, news),
    onDecision: (text) => phases.push(`${Math.round(now)} ${text}`),
  });

  const takePhase = (node: TrialNode, news: PhaseMessage): void => {
    if (node.rollouts.applyPhase(news)) {
      node.reporter.reportPhaseChange(SERVICE);
    }
  };

  const deliver = (): void => {
    const due = messages.filter(({ at }) => at <= now);
    messages = messages.filter(({ at }) => at > now);
    for (const { to, content } of due) {
      const node = nodes.find(({ name }) => name === to) as TrialNode;
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

  const start = (node: TrialNode, passage: RunPermit, route: number): void => {
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
    const ingress = nodes[Math.floor(random() * others)] as TrialNode;
    const share = ingress.shares.select(SERVICE, String(route));
    sums.requests += now < durationMs ? 1 : 0;
    const tried = new Set<TrialNode>();
    for (;;) {
      const { preferred, fallback = () => true } = share;
      const isUp = ({ version }: TrialNode) =>
        version === TARGET || state !== RolloutState.Completed;
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
