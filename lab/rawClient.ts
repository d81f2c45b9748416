/**
 * A client that writes bytes of its choice on one connection: several requests before the first is
 * answered, or something that is not a request.
 */
import net from 'node:net';
import { endpointOf } from '../src/model/endpoint.js';
import { DEFAULT_HEADER_NAMES as NAMES } from '../src/owner/header-names.js';

export interface RawClient {
  readonly socket: net.Socket;
  /** All bytes received so far, as text. */
  readonly received: string;
  /** True once the connection has closed. */
  readonly hasEnded: boolean;
}

/** Connects and sends the text. */
export function connectRaw(address: string, text = ''): RawClient {
  const socket = net.connect(endpointOf(address));
  let received = '';
  let hasEnded = false;
  socket.on('data', (bytes) => {
    received += bytes.toString();
  });
  socket.on('close', () => {
    hasEnded = true;
  });
  socket.on('error', () => {});
  socket.write(text);
  return {
    socket,
    get received() {
      return received;
    },
    get hasEnded() {
      return hasEnded;
    },
  };
}

/** A request without a body; `fields` are further lines of its head. */
export function getText(path: string, requestId: string, fields: readonly string[] = []): string {
  const head = [`GET ${path} HTTP/1.1`, 'Host: mesh.example', `${NAMES.requestId}: ${requestId}`];
  return `${[...head, ...fields].join('\r\n')}\r\n\r\n`;
}

/** The head of a request with a body of this length. */
export function postHeadText(path: string, requestId: string, bodyBytes: number): string {
  const fields = `Host: mesh.example\r\n${NAMES.requestId}: ${requestId}\r\n`;
  return `POST ${path} HTTP/1.1\r\n${fields}Content-Length: ${bodyBytes}\r\n\r\n`;
}
