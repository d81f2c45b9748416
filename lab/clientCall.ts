/** Requests of clients, as tests send them. */
import http from 'node:http';
import { endpointOf } from '../src/model/endpoint.js';
import { DEFAULT_HEADER_NAMES as NAMES } from '../src/owner/header-names.js';

/** What a client got. */
export interface ClientResult {
  /** 0 when the connection ended without an answer. */
  readonly status: number;
  readonly body: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly tookMs: number;
}

/** A client's request. */
export interface ClientCall {
  readonly method?: string;
  readonly headers?: Record<string, string | string[]>;
  readonly body?: string | Buffer;
  readonly requestId?: string;
  readonly deadlineMs?: number;
  /** The client leaves after this time. */
  readonly leaveAfterMs?: number;
}

let requests = 0;

/** Sends one request on a connection of its own. */
export function call(
  address: string,
  path: string,
  options: ClientCall = {},
): Promise<ClientResult> {
  const startedAt = performance.now();
  requests += 1;
  const requestId = options.requestId ?? `request-${requests}`;
  return new Promise((resolve) => {
    const none = (): void =>
      resolve({ status: 0, body: '', headers: {}, tookMs: performance.now() - startedAt });
    const request = http.request({
      ...endpointOf(address),
      path,
      method: options.method ?? 'GET',
      agent: false,
      headers: {
        host: 'mesh.example',
        [NAMES.requestId]: requestId,
        ...(options.deadlineMs === undefined
          ? {}
          : { [NAMES.deadline]: String(options.deadlineMs) }),
        ...options.headers,
      },
    });
    request.on('error', none);
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', none);
      response.on('end', () =>
        resolve({
          status: response.statusCode ?? 0,
          body: Buffer.concat(chunks).toString(),
          headers: response.headers,
          tookMs: performance.now() - startedAt,
        }),
      );
    });
    if (options.leaveAfterMs !== undefined) {
      setTimeout(() => request.destroy(), options.leaveAfterMs);
    }
    request.end(options.body);
  });
}
