/** Reads of the store by way of other nodes, on connections that are kept. */
import type { StoreQuestion } from '../source/object-store.js';
import type { SentObserver } from './peerConnection.js';
import { createPeerConnections, type PeerConnections } from './peerConnections.js';
import { MessageKind, type PeerSender } from './peerMessages.js';

/** Asks other nodes for what they know of the store. */
export interface PeerReads {
  /** The node's packed answer; undefined when it does not come in time. */
  read(address: string, question: StoreQuestion, timeoutMs: number): Promise<Buffer | undefined>;
  /** Closes the connections that are kept. */
  close(): void;
}

export function createPeerReads(sender: () => PeerSender, onSent?: SentObserver): PeerReads {
  const pools = new Map<string, PeerConnections>();
  const poolOf = (address: string): PeerConnections => {
    const known = pools.get(address) ?? createPeerConnections(address, { onSent });
    pools.set(address, known);
    return known;
  };
  const closeIdle = () => {
    for (const pool of pools.values()) {
      pool.close();
    }
  };
  return {
    read: (address, question, timeoutMs) =>
      new Promise((resolve) => {
        const pool = poolOf(address);
        const connection = pool.take();
        const timer = setTimeout(() => {
          connection.destroy();
          // Those that rest may have gone silent with this one: the next read gets a new one.
          closeIdle();
        }, timeoutMs);
        connection.listen({
          onMessage: (message) => {
            clearTimeout(timer);
            if (message.kind === MessageKind.ReadResult) {
              pool.give(connection);
              resolve(message.bytes);
            } else {
              connection.destroy();
            }
          },
          onClose: () => {
            clearTimeout(timer);
            resolve(undefined);
          },
        });
        connection.send({ kind: MessageKind.Read, sender: sender(), question });
      }),
    close: closeIdle,
  };
}
