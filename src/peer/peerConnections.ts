/** Kept connections to one other node: each carries one exchange at a time, the rest are idle. */

import net from 'node:net';
import { endpointOf } from '../model/endpoint.js';
import {
  type ConnectionTraits,
  createPeerConnection,
  type PeerConnection,
} from './peerConnection.js';

/** An idle connection is closed after this time, in milliseconds. */
const IDLE_LIMIT_MS = 30_000;

/** The connections of this node to another one. */
export interface PeerConnections {
  /** An idle connection, or a new one that may still be connecting. */
  take(): PeerConnection;
  /** Gives a connection back whose exchange has ended on both sides. */
  give(connection: PeerConnection): void;
  /** Closes what is idle. */
  close(): void;
}

/** `address` is `host:port` of the node. */
export function createPeerConnections(
  address: string,
  traits: ConnectionTraits = {},
): PeerConnections {
  const { host, port } = endpointOf(address);
  const idle: PeerConnection[] = [];
  const forget = (connection: PeerConnection) => {
    const index = idle.indexOf(connection);
    if (index >= 0) {
      idle.splice(index, 1);
    }
  };
  return {
    take: () => {
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
    give: (connection) => {
      if (connection.isClosed) {
        return;
      }
      connection.listen({
        // Nothing is owed on an idle connection.
        onMessage: () => connection.destroy(),
        onClose: () => forget(connection),
      });
      idle.push(connection);
    },
    close: () => {
      for (const connection of idle.splice(0)) {
        connection.destroy();
      }
    },
  };
}
