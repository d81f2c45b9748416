/** Sends admitted tasks to the back end, and records what each call shows about it. */
import type http from 'node:http';
import type { Clock } from '../model/clock.js';
import type { BackEnd } from '../registry/back-end-registry.js';
import type { BackEndIncarnation } from '../registry/backEndIncarnation.js';
import type { BackEndRun } from '../rollout/runCounts.js';
import { BackEndConnections } from './backEndConnections.js';
import type { BackEndNotice } from './backEndNotice.js';
import type { BackEndObservations } from './backEndObservations.js';
import { backEndRunOf, type EndedCall } from './backEndRun.js';
import type { HeaderNames } from './header-names.js';
import type { MessageBody } from './message-body.js';
import type { EndedBackEndCall, MonitoredCalls } from './monitoredCalls.js';
import type { NoticeHandler, NoticeSource } from './noticeHandler.js';
import type { OwnerOutcome, OwnerTask } from './owner.js';

/** Milliseconds after an answer to another request during which unrepeatable tasks connect anew. */
const NO_REUSE_MS = 10_000;

/** A task cancelled at most this long before its deadline, in ms, counts as awaited to the end. */
const DEADLINE_SLACK_MS = 50;

/** The parts of the owner that the sender uses. */
export interface BackEndSenderContext {
  readonly clock: Clock;
  /** Clock for the state of the back end. */
  readonly freshnessClock: Clock;
  readonly names: HeaderNames;
  readonly calls: MonitoredCalls;
  readonly observations: BackEndObservations;
  /** The back end that is present now. */
  readonly currentBackEnd: () => BackEnd | undefined;
  /** The back end has reported something about itself in an answer. */
  readonly onNotice: NoticeHandler['handle'];
  /** The address of the incarnation refuses connections or does not accept one in time. */
  readonly onUnreachable: (incarnation: BackEndIncarnation) => void;
  /** A run has ended with a result for the back end's version. */
  readonly onRun?: ((run: BackEndRun) => void) | undefined;
}

export interface BackEndSender {
  /** Sends a task to the back end. Never rejects. What it shows is recorded when it has ended. */
  send(task: OwnerTask, body: MessageBody, backEnd: BackEnd): Promise<OwnerOutcome>;
  /** Closes the idle connections to the previous incarnation. */
  reset(): void;
  close(): void;
}

export function createBackEndSender(context: BackEndSenderContext): BackEndSender {
  const { clock, freshnessClock, names, calls, observations, currentBackEnd } = context;
  const connections = new BackEndConnections();
  /** Steady time in milliseconds until which tasks that may not be repeated use new connections. */
  let noReuseUntil = 0;

  /** For a while after a foreign answer, tasks that may not be repeated get a new connection. */
  const agentFor = ({ repeatable }: OwnerTask): http.Agent =>
    connections.agentFor(repeatable || clock.now() >= noReuseUntil);

  const noteRun = (call: Omit<EndedCall, 'currentBackEnd' | 'now'>): void => {
    const run = backEndRunOf({
      ...call,
      currentBackEnd: currentBackEnd(),
      now: freshnessClock.now(),
    });
    if (run) {
      context.onRun?.(run);
    }
  };

  const noteEnded = (
    task: OwnerTask,
    backEnd: BackEnd,
    { outcome, tookMs, unreachable, wasReusedConnectionSilent }: EndedBackEndCall,
  ): void => {
    // The slowness is divided out: other programs on the machine don't count against the version.
    const usualMs = tookMs / Math.max(1, observations.slowness);
    noteRun({ task, backEnd, outcome, tookMs: usualMs });
    if (unreachable) {
      context.onUnreachable(backEnd);
    }
    if (wasReusedConnectionSilent && clock.now() >= task.deadlineAt - DEADLINE_SLACK_MS) {
      connections.closeIdle();
    }
    if (outcome.kind === 'unknown' && outcome.reason === 'foreign-answer') {
      noReuseUntil = clock.now() + NO_REUSE_MS;
    }
  };

  return {
    send: (task, body, backEnd) => {
      const options = {
        backEnd,
        names,
        agent: agentFor(task),
        remainingMs: task.deadlineAt - clock.now(),
        onNotice: (notice: BackEndNotice, source: NoticeSource) =>
          context.onNotice(notice, backEnd, source),
      };
      return calls.call(task, body, options, (ended) => noteEnded(task, backEnd, ended));
    },
    reset: () => connections.reset(),
    close: () => connections.close(),
  };
}
