/** Closes connections whose clients are still sending a request that has been answered. */
import type { IncomingMessage } from 'node:http';

/** Longest time in milliseconds for which the rest of a request is awaited. */
const LINGER_MS = 2_000;

/**
 * Makes the last answer on a connection close its sending side only, until the client has sent the
 * rest of its request. A connection that is closed with unread data is reset, and the client may
 * then lose the end of the answer (RFC 9112, section 9.6). Call before the answer is written.
 */
export function lingerBeforeClose(request: IncomingMessage): void {
  if (request.complete) {
    return;
  }
  const { socket } = request;
  const destroySoon = socket.destroySoon.bind(socket);
  // Node.js calls this when the last answer has been written.
  socket.destroySoon = () => {
    if (request.complete || socket.destroyed) {
      destroySoon();
      return;
    }
    const timer = setTimeout(destroySoon, LINGER_MS);
    socket.once('close', () => clearTimeout(timer));
    request.once('end', destroySoon);
    request.resume();
    socket.end();
  };
}
