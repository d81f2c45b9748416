/** How long an exchange bears with an owner that says nothing, and when it asks whether it is still there. */
import type { Clock } from '../model/clock.js';
import type { PeerState } from './peerState.js';

/** The next ping of a long exchange waits this many times longer than the last one did. */
const PING_GROWTH = 2;

/** What is needed of the exchange. */
export interface LivenessTimerContext {
  readonly clock: Clock;
  readonly peer: PeerState;
  /** True while the offer waits for its first answer; false at once if the body went with it. */
  readonly isOfferPending: () => boolean;
  /** Asks whether the owner is still there; false if such an exchange is not asked about. */
  readonly ping: () => boolean;
  /** What was awaited has come after so many milliseconds. */
  readonly onReply?: ((tookMs: number) => void) | undefined;
  /** What was awaited has not come; `isHeardOf` if other exchanges have heard of the owner meanwhile. */
  readonly onTimeout: (isHeardOf: boolean) => void;
}

export interface LivenessTimer {
  /** The offer is sent. */
  start(): void;
  /** Something has come from the owner; to be called before its effect on `isOffered`. */
  noteReceived(): void;
  /** The exchange is over. */
  stop(): void;
}

export function createLivenessTimer(context: LivenessTimerContext): LivenessTimer {
  const { clock, peer, isOfferPending, ping, onReply, onTimeout } = context;
  /** Milliseconds after which a silent owner is asked whether it is still there. */
  let patienceMs = peer.replyTimeout.currentMs;
  /** Steady time in milliseconds since which something is awaited of the owner. */
  let awaitingSince = 0;
  let isPinged = false;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  const startTimer = (ms: number): void => {
    clearTimeout(timer);
    timer = setTimeout(() => {
      // What has arrived while this process was held up is read before it counts as missing.
      setImmediate(onSpent);
    }, ms);
  };

  /**
   * The time is up, whether or not something was heard meanwhile: an offer counts as unanswered, a task
   * under way is asked about by a ping, which tells a dead node from a busy one.
   */
  const onSpent = (): void => {
    if (isStopped) {
      return;
    }
    if (isOfferPending() || isPinged) {
      onTimeout(peer.lastReceivedAt > awaitingSince);
      return;
    }
    if (ping()) {
      isPinged = true;
      awaitingSince = clock.now();
      startTimer(peer.replyTimeout.currentMs);
    }
  };

  return {
    start: () => {
      awaitingSince = clock.now();
      startTimer(patienceMs);
    },
    noteReceived: () => {
      const now = clock.now();
      peer.lastReceivedAt = now;
      if (isOfferPending() || isPinged) {
        peer.replyTimeout.noteReply(now - awaitingSince);
        onReply?.(now - awaitingSince);
      }
      if (isPinged) {
        isPinged = false;
        patienceMs *= PING_GROWTH;
        startTimer(patienceMs);
      }
    },
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
