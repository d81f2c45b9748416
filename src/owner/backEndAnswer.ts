/** Verifies the answer of a back end, and detects whether it is whole. */
import type http from 'node:http';
import type { HeaderNames } from './header-names.js';
import type { MessageBody } from './message-body.js';

/** The transfer coding that the HTTP parser decodes (RFC 9112, section 7.1). */
const CHUNKED = 'chunked';

/** True if the answer has a coding, or is a success without the back end's signature. */
export function isInvalidAnswer(
  { headers, statusCode = 0 }: http.IncomingMessage,
  names: HeaderNames,
): boolean {
  const isSuccess = statusCode >= 200 && statusCode < 300;
  const isSigned = headers[names.signature.toLowerCase()] !== undefined;
  const transferCoding = headers['transfer-encoding']?.toLowerCase() ?? CHUNKED;
  const isCoded = headers['content-encoding'] !== undefined || transferCoding !== CHUNKED;
  return isCoded || (isSuccess && !isSigned);
}

/**
 * Destroys an answer without a length if its connection is reset. Such an answer
 * ends with its connection (RFC 9112, section 6.3, rule 8), so a reset means that
 * it is incomplete. Node.js reports a reset that arrives together with the last
 * bytes as a normal end, but the socket then has no remote address.
 */
export function destroyOnReset(response: http.IncomingMessage): void {
  const { headers, socket } = response;
  if (headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined) {
    return;
  }
  socket.prependOnceListener('end', () => {
    if (socket.remoteAddress === undefined) {
      response.destroy(new Error('the connection was reset'));
    }
  });
}

/** Resolves with true when the answer has been read to its end, with false if it breaks off. */
export function isReadToEnd(response: http.IncomingMessage): Promise<boolean> {
  return new Promise((resolve) => {
    response.on('end', () => resolve(response.complete));
    response.on('error', () => resolve(false));
    response.on('close', () => resolve(false));
  });
}

/**
 * The length of a long body, if the back end has stated it. A short body is framed where it is sent
 * to the client.
 */
export function lengthFieldOf({ headers }: http.IncomingMessage, body: MessageBody): string[] {
  const length = headers['content-length'];
  return body.kind === 'bytes' || length === undefined ? [] : ['Content-Length', length];
}
