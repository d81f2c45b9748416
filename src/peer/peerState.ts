/** What the exchanges with one other node need of their own node, and what they share. */
import type { Clock } from '../model/clock.js';
import type { ConnectionTraits } from './peerConnection.js';
import type { PeerConnections } from './peerConnections.js';
import type { PeerReport, PeerSender } from './peerMessages.js';
import type { SilenceLimit } from './silenceLimit.js';

/** What a remote owner needs of its node. */
export interface RemoteOwnerContext {
  readonly clock: Clock;
  readonly sender: () => PeerSender;
  readonly onReport: (report: PeerReport) => void;
  readonly traits?: ConnectionTraits;
  /** The node has said its first word on an offer, or answered a ping, after so many milliseconds. */
  readonly onReply?: (tookMs: number) => void;
  /** The node did not answer in time, or its connection failed. */
  readonly onFailure: (cause: 'silent' | 'unreachable') => void;
}

/** What the exchanges with one node share. */
export interface PeerState {
  readonly connections: PeerConnections;
  readonly silence: SilenceLimit;
  /** Steady time in milliseconds of the last message from the node. */
  heardAt: number;
}
