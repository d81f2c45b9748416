/** Short calls to other nodes that come often, on connections that are kept: reads of the store, quotas. */
import type { StoreQuery } from '../source/object-store.js';
import type { SentObserver } from './peerConnection.js';
import { createPeerConnectionPool, type PeerConnectionPool } from './peerConnectionPool.js';
import {
  MessageKind,
  type PeerMessage,
  type PeerSender,
  type QuotaGrantedMessage,
} from './peerMessages.js';

/** Asks other nodes for what they know of the store. */
export interface PooledPeerClient {
  /** The node's packed answer; undefined when it does not come in time. */
  read(address: string, question: StoreQuery, timeoutMs: number): Promise<Buffer | undefined>;
  /** Asks the holder of a part of a tenant's quota; undefined when it does not answer in time. */
  requestQuota(
    address: string,
    ask: { readonly tenant: string; readonly wanted: number },
    timeoutMs: number,
  ): Promise<QuotaGrantedMessage | undefined>;
  /** Closes the connections that are kept. */
  closeIdle(): void;
}

export function createPooledPeerClient(
  sender: () => PeerSender,
  onSent?: SentObserver,
): PooledPeerClient {
  const pools = new Map<string, PeerConnectionPool>();
  const poolOf = (address: string): PeerConnectionPool => {
    const known = pools.get(address) ?? createPeerConnectionPool(address, { onSent });
    pools.set(address, known);
    return known;
  };
  const closeIdle = () => {
    for (const pool of pools.values()) {
      pool.closeIdle();
    }
  };
  const exchange = (
    address: string,
    message: PeerMessage,
    timeoutMs: number,
  ): Promise<PeerMessage | undefined> =>
    new Promise((resolve) => {
      const pool = poolOf(address);
      const connection = pool.acquire();
      const timer = setTimeout(() => {
        connection.destroy();
        // Those that rest may have gone silent with this one: the next call gets a new one.
        closeIdle();
      }, timeoutMs);
      connection.setListener({
        onMessage: (reply) => {
          clearTimeout(timer);
          if (reply.kind === MessageKind.ReadResult || reply.kind === MessageKind.QuotaGranted) {
            pool.release(connection);
            resolve(reply);
          } else {
            connection.destroy();
          }
        },
        onClose: () => {
          clearTimeout(timer);
          resolve(undefined);
        },
      });
      connection.send(message);
    });
  return {
    read: async (address, question, timeoutMs) => {
      const message = { kind: MessageKind.Read, sender: sender(), question } as const;
      const reply = await exchange(address, message, timeoutMs);
      return reply?.kind === MessageKind.ReadResult ? reply.bytes : undefined;
    },
    requestQuota: async (address, ask, timeoutMs) => {
      const message = { kind: MessageKind.QuotaAsk, sender: sender(), ...ask } as const;
      const reply = await exchange(address, message, timeoutMs);
      return reply?.kind === MessageKind.QuotaGranted ? reply : undefined;
    },
    closeIdle: closeIdle,
  };
}
