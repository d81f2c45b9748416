/**
 * Order of a planned stop. The node first reports that it isn't ready and asks clients to connect
 * elsewhere. It then rejects new tasks, stops accepting client requests, and waits until nothing is
 * in flight.
 */
import type { IngressServer } from '../ingress/ingress-server.js';
import type { Clock } from '../model/clock.js';
import type { LocalOwner } from '../owner/local-owner.js';
import type { PeerServer } from '../peer/peerServer.js';
import { type Lifecycle, LifecycleEvent } from './lifecycle.js';

/** Share of the grace after which the back end receives no new tasks. */
const ADMITTING_SHARE = 0.3;

/** Share of the grace during which requests are accepted so that clients can connect elsewhere. */
const NOTICE_SHARE = 0.42;

/** Share of the grace after which no client requests are accepted, even if tasks still run. */
const ACCEPTING_SHARE = 0.48;

/** Interval between two checks of what is in flight, in milliseconds. */
const POLL_INTERVAL_MS = 50;

/**
 * Share of the grace that is reserved for closing down. A process that is limited to a quarter of a
 * core, and has used its CPU time for the current tenth of a second, needs some hundred
 * milliseconds for a few steps.
 */
const CLOSING_SHARE = 0.06;

/**
 * A request that arrives later than this many milliseconds after the start of the stop must end
 * before the grace does (users' rules, LOST: "sent no later than 3 s after the SIGTERM").
 */
const GUARANTEED_AFTER_MS = 3_000;

export interface ShutdownContext {
  readonly clock: Clock;
  readonly ingress: IngressServer;
  readonly owner: LocalOwner;
  readonly peers: PeerServer;
  /** Milliseconds from the start of the stop until the process is killed. */
  readonly graceMs: number;
  readonly lifecycle: Lifecycle;
}

/** Resolves when nothing is in flight, or shortly before the end of the grace. */
export async function shutDownGracefully(context: ShutdownContext): Promise<void> {
  const { clock, ingress, owner, peers, graceMs, lifecycle } = context;
  const startedAt = clock.now();
  const waitUntil = async (condition: () => boolean, atMs: number) => {
    while (!condition() && clock.now() < startedAt + atMs) {
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  };
  const endsAt = startedAt + graceMs * (1 - CLOSING_SHARE);
  ingress.beginShutdown({ guaranteedFrom: startedAt + GUARANTEED_AFTER_MS, endsAt });
  await waitUntil(() => false, graceMs * ADMITTING_SHARE);
  lifecycle.send(LifecycleEvent.NoticeGiven);
  owner.stopAdmitting();
  await waitUntil(() => false, graceMs * NOTICE_SHARE);
  // A task that still runs on the back end may call other services through this node.
  await waitUntil(() => owner.report.inFlight === 0, graceMs * ACCEPTING_SHARE);
  lifecycle.send(LifecycleEvent.TasksEnded);
  ingress.stopAccepting();
  const isIdle = () =>
    ingress.inFlight === 0 && owner.report.inFlight === 0 && peers.inFlight === 0;
  await waitUntil(isIdle, endsAt - startedAt);
  lifecycle.send(isIdle() ? LifecycleEvent.Idle : LifecycleEvent.GraceSpent);
}
