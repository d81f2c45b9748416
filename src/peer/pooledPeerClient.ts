/**
 * Sends short and frequent requests to other nodes over pooled connections: reads of the store by
 * way of a reader, and requests for tokens of a tenant's quota.
 */
import type { StoreQuery } from '../source/object-store.js';
import type { SentObserver } from './peerConnection.js';
import { createPeerConnectionPool, type PeerConnectionPool } from './peerConnectionPool.js';
import {
  MessageKind,
  type PeerMessage,
  type PeerSender,
  type QuotaGrantedMessage,
} from './peerMessages.js';

/** Sends reads and quota requests to other nodes. */
export interface PooledPeerClient {
  /** Returns the node's encoded result. Undefined if it does not arrive in time. */
  read(address: string, question: StoreQuery, timeoutMs: number): Promise<Buffer | undefined>;
  /** Requests tokens from the holder of a quota part. Undefined if it does not answer in time. */
  requestQuota(
    address: string,
    request: { readonly tenant: string; readonly wanted: number },
    timeoutMs: number,
  ): Promise<QuotaGrantedMessage | undefined>;
  /** Closes all idle connections. */
  closeIdle(): void;
}

export function createPooledPeerClient(
  sender: () => PeerSender,
  onSent?: SentObserver,
): PooledPeerClient {
  const pools = new Map<string, PeerConnectionPool>();
  const poolOf = (address: string): PeerConnectionPool => {
    const pool = pools.get(address) ?? createPeerConnectionPool(address, { onSent });
    pools.set(address, pool);
    return pool;
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
        // The fault that silenced this connection may have silenced the idle ones too, so the next
        // request gets a new connection.
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
    requestQuota: async (address, request, timeoutMs) => {
      const message = { kind: MessageKind.QuotaAsk, sender: sender(), ...request } as const;
      const reply = await exchange(address, message, timeoutMs);
      return reply?.kind === MessageKind.QuotaGranted ? reply : undefined;
    },
    closeIdle: closeIdle,
  };
}
