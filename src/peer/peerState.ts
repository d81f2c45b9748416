/** State and dependencies that all exchanges with one other node share. */
import type { Clock } from '../model/clock.js';
import type { AdaptiveTimeout } from './adaptiveTimeout.js';
import type { ConnectionOptions } from './peerConnection.js';
import type { PeerConnectionPool } from './peerConnectionPool.js';
import type { PeerReport, PeerSender } from './peerMessages.js';

/** Dependencies of a remote owner. */
export interface RemoteOwnerContext {
  readonly clock: Clock;
  readonly sender: () => PeerSender;
  readonly onReport: (report: PeerReport) => void;
  readonly connectionOptions?: ConnectionOptions;
  /** Called with the milliseconds that the node took to respond first to an offer, or to a ping. */
  readonly onReply?: (tookMs: number) => void;
  /** Called when the node has not answered in time or the connection to it has failed. */
  readonly onFailure: (cause: 'silent' | 'unreachable') => void;
}

/** State of one other node. */
export interface PeerState {
  readonly pool: PeerConnectionPool;
  readonly replyTimeout: AdaptiveTimeout;
  /** Steady time in milliseconds of the last message from the node; -Infinity before the first. */
  lastReceivedAt: number;
}
