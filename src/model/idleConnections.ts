/** Connections that rest in a pool. */
import type http from 'node:http';

/**
 * Closes the connections that rest, after one like them brought no answer: connections may go silent
 * for good, without a reset, while new ones work. Those in use are left alone.
 */
export function closeIdleConnections({ freeSockets }: http.Agent): void {
  for (const sockets of Object.values(freeSockets)) {
    for (const socket of sockets ?? []) {
      socket.destroy();
    }
  }
}
