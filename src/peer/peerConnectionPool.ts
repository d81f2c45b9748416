/** Kept connections to one other node: each carries one exchange at a time, the rest are idle. */

import net from 'node:net';
import { endpointOf } from '../model/endpoint.js';
import {
  type ConnectionOptions,
  createPeerConnection,
  type PeerConnection,
} from './peerConnection.js';

/** An idle connection is closed after this time, in milliseconds. */
const IDLE_LIMIT_MS = 30_000;

/** The connections of this node to another one. */
export interface PeerConnectionPool {
  /** An idle connection, or a new one that may still be connecting. */
  acquire(): PeerConnection;
  /** Gives a connection back whose exchange has ended on both sides. */
  release(connection: PeerConnection): void;
  /** Closes what is idle. */
  closeIdle(): void;
}

/** `address` is `host:port` of the node. */
export function createPeerConnectionPool(
  address: string,
  traits: ConnectionOptions = {},
): PeerConnectionPool {
  const { host, port } = endpointOf(address);
  const idle: PeerConnection[] = [];
  const forget = (connection: PeerConnection) => {
    const index = idle.indexOf(connection);
    if (index >= 0) {
      idle.splice(index, 1);
    }
  };
  return {
    acquire: () => {
      for (let kept = idle.pop(); kept; kept = idle.pop()) {
        if (!kept.isClosed) {
          return kept;
        }
      }
      const socket = net.connect({ host, port });
      const connection = createPeerConnection(socket, traits);
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
        // Nothing is owed on an idle connection.
        onMessage: () => connection.destroy(),
        onClose: () => forget(connection),
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
