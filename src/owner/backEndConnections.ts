/**
 * Connections to back ends. A connection that receives data while no request is
 * in flight is destroyed, so that a late or misdirected answer is not matched to
 * the next request.
 */
import http from 'node:http';
import type { Socket } from 'node:net';
import { closeIdleConnections } from '../model/idleConnections.js';

/** Idle connections are closed after this time, in milliseconds: sooner than servers usually do. */
const IDLE_LIMIT_MS = 4_000;

/** Keeps connections alive for requests that may be repeated. */
class GuardedAgent extends http.Agent {
  private readonly guards = new WeakMap<Socket, () => void>();
  /** False after a new incarnation: open connections lead to the previous one. */
  keepsConnections = true;

  constructor() {
    super({ keepAlive: true, timeout: IDLE_LIMIT_MS, scheduling: 'lifo' });
  }

  /** Called by Node.js when a request has ended and its connection is idle. */
  override keepSocketAlive(socket: Socket): boolean {
    const keep =
      this.keepsConnections && (super.keepSocketAlive(socket as never) as unknown as boolean);
    const guard = () => socket.destroy();
    this.guards.set(socket, guard);
    socket.on('data', guard);
    return keep;
  }

  /** Called by Node.js when an idle connection is assigned to the next request. */
  override reuseSocket(socket: Socket, request: http.ClientRequest): void {
    const guard = this.guards.get(socket);
    if (guard) {
      socket.off('data', guard);
      this.guards.delete(socket);
    }
    super.reuseSocket(socket as never, request as never);
  }
}

/** The connections of one node to its back ends. */
export class BackEndConnections {
  private reusableAgent = new GuardedAgent();
  private readonly singleUseAgent = new http.Agent({ keepAlive: false });

  /**
   * The agent for a request. A request that may not be repeated gets a new
   * connection: after a reset of a reused one it is unknown whether it was run.
   */
  agentFor(repeatable: boolean): http.Agent {
    return repeatable ? this.reusableAgent : this.singleUseAgent;
  }

  /** Closes idle connections, after a reused connection has brought no answer. */
  closeIdle(): void {
    closeIdleConnections(this.reusableAgent);
  }

  /** Stops reusing connections to the previous incarnation. Called for a new incarnation. */
  reset(): void {
    this.closeIdle();
    this.reusableAgent.keepsConnections = false;
    this.reusableAgent = new GuardedAgent();
  }

  /** Closes all connections of the current agents. */
  close(): void {
    this.reusableAgent.destroy();
    this.singleUseAgent.destroy();
  }
}
