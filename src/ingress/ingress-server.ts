/** Listens for clients on this machine: each request is an `IngressRequest`. */
import http from 'node:http';
import type { Socket } from 'node:net';
import { listenOn } from '../peer/listenOn.js';
import type { MeshLimits } from '../routing/mesh-configuration.js';
import { type ClientAccess, createClientAccess } from './clientAccess.js';
import { type IngressOptions, IngressRequest } from './ingress-request.js';
import { createPipelines } from './pipelines.js';

/** Largest head that is read; the configured limit is checked on what was read. */
const MAX_HEAD_BYTES = 256 * 1024;

/** Limits until a configuration is known. */
const DEFAULT_IDLE_MS = 60_000;
const DEFAULT_HEADER_TIMEOUT_MS = 10_000;

/** Steady times in milliseconds of a planned stop. */
export interface ShutdownTimes {
  /** What arrives from now on must not be cut off. */
  readonly guaranteedFrom: number;
  /** Everything ends now, whether it is answered or not. */
  readonly endsAt: number;
}

/** One per node. */
export class IngressServer {
  private readonly server: http.Server;
  private readonly access: ClientAccess;
  private readonly pipelines = createPipelines();
  private active = 0;
  private accepting = true;
  private stop: ShutdownTimes | undefined;

  constructor(private readonly options: IngressOptions) {
    this.access = createClientAccess(options);
    this.server = http.createServer(
      {
        requestTimeout: 0,
        headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
        keepAliveTimeout: DEFAULT_IDLE_MS,
        maxHeaderSize: MAX_HEAD_BYTES,
        noDelay: true,
      },
      (request, response) => void this.serve(request, response),
    );
    this.server.on('clientError', (error, socket) => this.onClientError(error, socket as Socket));
  }

  listen(host: string, port: number): Promise<number> {
    return listenOn(this.server, host, port);
  }

  /** Requests that have no final answer yet. */
  get inFlight(): number {
    return this.active;
  }

  /** Puts the limits of a configuration in force. */
  setLimits(limits: MeshLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  /** Answers from now on close their connection; what may not end in time is refused. */
  beginShutdown(stop: ShutdownTimes): void {
    this.stop = stop;
  }

  /** Takes no new requests; those in flight go on. */
  stopAccepting(): void {
    // Closes idle connections too: the answers on the others tell their clients to close.
    this.accepting = false;
    this.server.close();
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { socket } = request;
    if (!this.accepting) {
      // A client that never lets its connection rest: it sends again what is not answered.
      this.pipelines.closeWhenIdle(socket, () => socket.end());
      return;
    }
    if (!this.pipelines.begin(socket)) {
      return;
    }
    response.on('close', () => this.pipelines.end(socket));
    this.active += 1;
    try {
      const ingressRequest = new IngressRequest(this.options, this.access, request, response);
      const mayClose = () => this.stop !== undefined && this.pipelines.closeIfLast(socket);
      await ingressRequest.run(mayClose, this.latestEnd());
    } catch {
      // Nothing true can be said of a request whose handling failed.
      response.destroy();
    } finally {
      this.active -= 1;
    }
  }

  /** Steady time in milliseconds by which a request that is taken now must have ended. */
  private latestEnd(): number {
    const { stop } = this;
    const isPromised = stop && this.options.clock.now() >= stop.guaranteedFrom;
    return isPromised ? stop.endsAt : Number.POSITIVE_INFINITY;
  }

  /** Bytes that are no request: the answers due before them, the protocol's own answer, the end. */
  private onClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const status =
      error.code === 'HPE_HEADER_OVERFLOW'
        ? '431 Request Header Fields Too Large'
        : '400 Bad Request';
    this.pipelines.closeWhenIdle(socket, () => {
      socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    });
  }
}
