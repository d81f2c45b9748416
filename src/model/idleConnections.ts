/** Handling of idle connections in a pool. */
import type http from 'node:http';

/**
 * Closes the idle connections of a pool. It is called when a request on a pooled connection gets no
 * answer: connections can stop working without a reset, while new connections work. Connections in
 * use stay open.
 */
export function closeIdleConnections({ freeSockets }: http.Agent): void {
  for (const sockets of Object.values(freeSockets)) {
    for (const socket of sockets ?? []) {
      socket.destroy();
    }
  }
}
