/**
 * The order of a planned stop: out of rotation first, then no new tasks for the
 * back end, then no new requests of clients, then everything in flight.
 */
import type { IngressServer } from '../ingress/ingress-server.js';
import type { Clock } from '../model/clock.js';
import type { LocalOwner } from '../owner/local-owner.js';
import { type Lifecycle, LifecycleEvent } from './lifecycle.js';

/** Share of the grace after which the back end gets no new tasks. */
const TASKS_SHARE = 0.3;

/** Share of the grace in which clients learn to go elsewhere. */
const NOTICE_SHARE = 0.42;

/** Share of the grace after which nothing more is taken from clients. */
const ACCEPTING_SHARE = 0.48;

/** Pause between two looks at what is in flight, in milliseconds. */
const TICK_MS = 50;

/**
 * Share of the grace that is left for the very end: a process with a quarter of a core, which has
 * used up its part of a tenth of a second, needs some hundred milliseconds for a few steps.
 */
const MARGIN_SHARE = 0.06;

/**
 * What is taken from clients later than so many milliseconds after the stop began must end before
 * the grace does (users' rules, LOST: "sent no later than 3 s after the SIGTERM").
 */
const PROMISED_AFTER_MS = 3_000;

/** What is stopped. */
export interface ShutdownContext {
  readonly clock: Clock;
  readonly ingress: IngressServer;
  readonly owner: LocalOwner;
  /** Milliseconds until the process is killed. */
  readonly graceMs: number;
  readonly lifecycle: Lifecycle;
}

/** Resolves when nothing is in flight, or just before the end of the grace. */
export async function shutDownGracefully(parts: ShutdownContext): Promise<void> {
  const { clock, ingress, owner, graceMs, lifecycle } = parts;
  const startedAt = clock.now();
  const waitUntil = async (condition: () => boolean, atMs: number) => {
    while (!condition() && clock.now() < startedAt + atMs) {
      await new Promise((resolve) => setTimeout(resolve, TICK_MS));
    }
  };
  const endsAt = startedAt + graceMs * (1 - MARGIN_SHARE);
  ingress.beginShutdown({ guaranteedFrom: startedAt + PROMISED_AFTER_MS, endsAt });
  await waitUntil(() => false, graceMs * TASKS_SHARE);
  lifecycle.send(LifecycleEvent.NoticeGiven);
  owner.stopAdmitting();
  await waitUntil(() => false, graceMs * NOTICE_SHARE);
  // What the back end still runs may call other services through this node.
  await waitUntil(() => owner.report.inFlight === 0, graceMs * ACCEPTING_SHARE);
  lifecycle.send(LifecycleEvent.TasksEnded);
  ingress.stopAccepting();
  const isIdle = () => ingress.inFlight === 0 && owner.report.inFlight === 0;
  await waitUntil(isIdle, endsAt - startedAt);
  lifecycle.send(isIdle() ? LifecycleEvent.Idle : LifecycleEvent.GraceSpent);
}
