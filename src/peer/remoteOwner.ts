/** An owner on another node, reached over the network. */
import type { Owner, OwnerOutcome, OwnerTask } from '../owner/owner.js';
import { createAdaptiveTimeout } from './adaptiveTimeout.js';
import { createPeerConnectionPool } from './peerConnectionPool.js';
import type { PeerState, RemoteOwnerContext } from './peerState.js';
import { RemoteRun } from './remoteRun.js';

/** Sends tasks to the owner on one other node. There is one instance per node. */
export class RemoteOwner implements Owner {
  private readonly peer: PeerState;

  constructor(
    /** `host:port` of the node. */
    readonly address: string,
    private readonly context: RemoteOwnerContext,
  ) {
    this.peer = {
      pool: createPeerConnectionPool(address, context.connectionOptions),
      replyTimeout: createAdaptiveTimeout(),
      lastReceivedAt: Number.NEGATIVE_INFINITY,
    };
  }

  run(task: OwnerTask): Promise<OwnerOutcome> {
    return new RemoteRun(task, this.peer, this.context).run();
  }

  close(): void {
    this.peer.pool.closeIdle();
  }
}
