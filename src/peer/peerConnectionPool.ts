/** Pools the connections to one other node. Each carries at most one exchange at a time. */

import net from 'node:net';
import { endpointOf } from '../model/endpoint.js';
import {
  type ConnectionOptions,
  createPeerConnection,
  type PeerConnection,
} from './peerConnection.js';

/** Time after which an idle connection is closed, in milliseconds. */
const IDLE_LIMIT_MS = 30_000;

/** The connections from this node to one other node. */
export interface PeerConnectionPool {
  /** Returns an idle connection, or a new one that may still be connecting. */
  acquire(): PeerConnection;
  /** Makes a connection idle. Its exchange must have ended on both sides. */
  release(connection: PeerConnection): void;
  /** Closes all idle connections. */
  closeIdle(): void;
}

/** Creates the pool for the node at `address`, given as `host:port`. */
export function createPeerConnectionPool(
  address: string,
  options: ConnectionOptions = {},
): PeerConnectionPool {
  const { host, port } = endpointOf(address);
  const idle: PeerConnection[] = [];
  const removeIdle = (connection: PeerConnection) => {
    const index = idle.indexOf(connection);
    if (index >= 0) {
      idle.splice(index, 1);
    }
  };
  return {
    acquire: () => {
      for (let candidate = idle.pop(); candidate; candidate = idle.pop()) {
        if (!candidate.isClosed) {
          return candidate;
        }
      }
      const socket = net.connect({ host, port });
      const connection = createPeerConnection(socket, options);
      socket.setTimeout(IDLE_LIMIT_MS, () => {
        if (idle.includes(connection)) {
          socket.destroy();
        }
      });
      return connection;
    },
    release: (connection) => {
      if (connection.isClosed) {
        return;
      }
      connection.setListener({
        // No message is expected on an idle connection: the other node breaks the protocol.
        onMessage: () => connection.destroy(),
        onClose: () => removeIdle(connection),
      });
      idle.push(connection);
    },
    closeIdle: () => {
      for (const connection of idle.splice(0)) {
        connection.destroy();
      }
    },
  };
}
