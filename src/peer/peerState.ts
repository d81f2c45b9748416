/** What the exchanges with one other node need of their own node, and what they share. */
import type { Clock } from '../model/clock.js';
import type { AdaptiveTimeout } from './adaptiveTimeout.js';
import type { ConnectionOptions } from './peerConnection.js';
import type { PeerConnectionPool } from './peerConnectionPool.js';
import type { PeerReport, PeerSender } from './peerMessages.js';

/** What a remote owner needs of its node. */
export interface RemoteOwnerContext {
  readonly clock: Clock;
  readonly sender: () => PeerSender;
  readonly onReport: (report: PeerReport) => void;
  readonly connectionOptions?: ConnectionOptions;
  /** The node has said its first word on an offer, or answered a ping, after so many milliseconds. */
  readonly onReply?: (tookMs: number) => void;
  /** The node did not answer in time, or its connection failed. */
  readonly onFailure: (cause: 'silent' | 'unreachable') => void;
}

/** What the exchanges with one node share. */
export interface PeerState {
  readonly pool: PeerConnectionPool;
  readonly replyTimeout: AdaptiveTimeout;
  /** Steady time in milliseconds of the last message from the node. */
  lastReceivedAt: number;
}
