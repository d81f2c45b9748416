/** The part of a client's request body that has not been read yet, as a stream of its own. */
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';

/**
 * The stream may be destroyed at any time, which leaves the client's connection open: what still
 * arrives of the body is then read and dropped, so that the connection can be answered and can
 * serve the next request. `request` is read only as fast as the stream is.
 */
export function restOfBody(request: IncomingMessage): Readable {
  const rest = new Readable({
    read: () => {
      request.resume();
    },
    destroy: (error, callback) => {
      request.off('data', onData);
      request.resume();
      callback(error);
    },
  });
  const onData = (chunk: Buffer): void => {
    if (!rest.push(chunk)) {
      request.pause();
    }
  };
  const onLost = (): void => {
    // Node.js reports the close of a whole request too, maybe before the stream has been read.
    if (!request.complete) {
      rest.destroy(new Error('the request ended before its body was complete'));
    }
  };
  // Its reader may be gone when the client leaves.
  rest.on('error', () => {});
  request.on('data', onData);
  request.on('error', onLost);
  request.on('close', onLost);
  request.on('end', () => {
    if (request.complete) {
      rest.push(null);
    } else {
      onLost();
    }
  });
  return rest;
}
