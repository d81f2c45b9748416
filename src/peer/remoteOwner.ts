/** An owner on another node, reached over the network. */
import type { Owner, OwnerOutcome, OwnerTask } from '../owner/owner.js';
import { createPeerConnections } from './peerConnections.js';
import type { PeerState, RemoteOwnerContext } from './peerState.js';
import { RemoteRun } from './remoteRun.js';
import { createSilenceLimit } from './silenceLimit.js';

/** One for each other node. */
export class RemoteOwner implements Owner {
  private readonly peer: PeerState;

  constructor(
    /** `host:port` of the node. */
    readonly address: string,
    private readonly context: RemoteOwnerContext,
  ) {
    this.peer = {
      connections: createPeerConnections(address, context.traits),
      silence: createSilenceLimit(),
      heardAt: Number.NEGATIVE_INFINITY,
    };
  }

  run(task: OwnerTask): Promise<OwnerOutcome> {
    return new RemoteRun(task, this.peer, this.context).run();
  }

  close(): void {
    this.peer.connections.close();
  }
}
