/**
 * Detects an owner that no longer answers an exchange. An offer without a response times out. An
 * owner that has the task is sent a ping after a while, because a busy node answers it and a node
 * that is down does not; a ping without a response times out too.
 */
import type { Clock } from '../model/clock.js';
import type { PeerState } from './peerState.js';

/** Factor by which the pause before the next ping of a long exchange grows. */
const PING_GROWTH = 2;

/** The exchange that the timer watches. */
export interface LivenessTimerContext {
  readonly clock: Clock;
  readonly peer: PeerState;
  /**
   * True while the owner has not responded to the offer; false from the start if the offer
   * contained the body.
   */
  readonly isOfferPending: () => boolean;
  /** Sends a ping to the owner; returns false if this exchange sends no pings. */
  readonly ping: () => boolean;
  /** Called with the milliseconds that the owner took to respond to the offer or to a ping. */
  readonly onReply?: ((tookMs: number) => void) | undefined;
  /**
   * Called when the offer or a ping has timed out; `isPeerActive` is true if other exchanges have
   * received messages from the owner in the meantime.
   */
  readonly onTimeout: (isPeerActive: boolean) => void;
}

export interface LivenessTimer {
  /** Starts the timer; called when the offer is sent. */
  start(): void;
  /**
   * Records a message from the owner. Must be called before the message changes the result of
   * `isOfferPending`.
   */
  noteReceived(): void;
  /** Stops the timer; called when the exchange has ended. */
  stop(): void;
}

export function createLivenessTimer(context: LivenessTimerContext): LivenessTimer {
  const { clock, peer, isOfferPending, ping, onReply, onTimeout } = context;
  /** Milliseconds before the offer times out or the next ping is sent. */
  let pauseMs = peer.replyTimeout.currentMs;
  /** Steady time in milliseconds at which the offer or the latest ping was sent. */
  let awaitingSince = 0;
  let isPinged = false;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  const startTimer = (ms: number): void => {
    clearTimeout(timer);
    timer = setTimeout(() => {
      // Data that arrived while this process was blocked is read first, so that it is not missed.
      setImmediate(onExpired);
    }, ms);
  };

  /**
   * Reports a pending offer or ping as timed out, otherwise sends a ping. Other messages from the
   * owner do not restart the timer.
   */
  const onExpired = (): void => {
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
      startTimer(pauseMs);
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
        pauseMs *= PING_GROWTH;
        startTimer(pauseMs);
      }
    },
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
