/**
 * Connections to back ends. A connection on which anything arrives while no
 * request is under way is destroyed: a late or crossed answer must not be taken
 * for the answer to the next request.
 */
import http from 'node:http';
import type { Socket } from 'node:net';
import { closeIdleConnections } from '../model/idleConnections.js';

/** An idle connection is closed after this time, in milliseconds: sooner than servers usually do. */
const IDLE_LIMIT_MS = 4_000;

/** Keeps connections for requests that may be repeated. */
class GuardedAgent extends http.Agent {
  private readonly guards = new WeakMap<Socket, () => void>();
  /** False once another life of the back end is there: what is open leads to the one before. */
  keepsConnections = true;

  constructor() {
    super({ keepAlive: true, timeout: IDLE_LIMIT_MS, scheduling: 'lifo' });
  }

  /** Called by Node when a request has left its connection free. */
  override keepSocketAlive(socket: Socket): boolean {
    const keep =
      this.keepsConnections && (super.keepSocketAlive(socket as never) as unknown as boolean);
    const guard = () => socket.destroy();
    this.guards.set(socket, guard);
    socket.on('data', guard);
    return keep;
  }

  /** Called by Node when an idle connection is given the next request. */
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
   * The agent for a request. One that may not be repeated gets a connection of
   * its own: on a reused one a reset would leave open whether it was run.
   */
  agentFor(repeatable: boolean): http.Agent {
    return repeatable ? this.reusableAgent : this.singleUseAgent;
  }

  /** Closes kept connections that are idle, after one that was kept brought no answer. */
  closeIdle(): void {
    closeIdleConnections(this.reusableAgent);
  }

  /** Another life of the back end is there: what leads to the one before is not used again. */
  reset(): void {
    this.closeIdle();
    this.reusableAgent.keepsConnections = false;
    this.reusableAgent = new GuardedAgent();
  }

  /** Closes what is idle. */
  close(): void {
    this.reusableAgent.destroy();
    this.singleUseAgent.destroy();
  }
}
