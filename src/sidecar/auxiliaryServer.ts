/** HTTP server for calls with small bodies: registrations, readiness, metrics. */
import http from 'node:http';
import { collectBody } from '../owner/message-body.js';
import { listenOn } from '../peer/listenOn.js';

/** Largest body of a call, in bytes. The connection of a larger one is closed. */
const MAX_BODY_BYTES = 64 * 1024;

/** A call whose body has been read completely. */
export interface AuxiliaryRequest {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

export interface AuxiliaryResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export type AuxiliaryHandler = (
  call: AuxiliaryRequest,
) => AuxiliaryResponse | Promise<AuxiliaryResponse>;

/** Responds with status 500 if the handler fails. */
export class AuxiliaryServer {
  private readonly server: http.Server;

  constructor(
    private readonly handler: AuxiliaryHandler,
    private readonly onError: (path: string, error: unknown) => void,
  ) {
    this.server = http.createServer((request, response) => void this.serve(request, response));
  }

  listen(host: string, port: number): Promise<number> {
    return listenOn(this.server, host, port);
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await collectBody(request, MAX_BODY_BYTES).catch(() => undefined);
    if (body?.kind !== 'bytes') {
      response.destroy();
      return;
    }
    const result = await this.runHandler(request, body.bytes);
    response.writeHead(result.status, {
      'content-type': result.contentType,
      'content-length': Buffer.byteLength(result.body),
    });
    response.end(result.body);
  }

  private async runHandler(
    request: http.IncomingMessage,
    body: Buffer,
  ): Promise<AuxiliaryResponse> {
    try {
      return await this.handler({
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        body,
      });
    } catch (error) {
      this.onError(request.url ?? '/', error);
      return { status: 500, contentType: 'text/plain', body: 'internal error\n' };
    }
  }
}
