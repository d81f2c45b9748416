/** Accepts requests from clients. Each request is served by an {@link IngressRequest}. */
import http from 'node:http';
import type { Socket } from 'node:net';
import { listenOn } from '../peer/listenOn.js';
import type { MeshLimits } from '../routing/mesh-configuration.js';
import { type ClientAccess, createClientAccess } from './clientAccess.js';
import { IngressRequest } from './ingress-request.js';
import type { IngressOptions } from './ingressOptions.js';
import { createPipelines, type Pipelines } from './pipelines.js';
import { AnswerBreak } from './requestRecord.js';

/**
 * Largest request head, in bytes, that the HTTP parser accepts. The configured limit is checked
 * after the head has been read.
 */
const MAX_HEAD_BYTES = 256 * 1024;

/** Limits in milliseconds that apply until the node has a configuration. */
const DEFAULT_IDLE_MS = 60_000;
const DEFAULT_HEADER_TIMEOUT_MS = 10_000;

/** Steady times in milliseconds of a planned stop. */
export interface ShutdownTimes {
  /** Requests that arrive from this time on must not be cut off. */
  readonly guaranteedFrom: number;
  /** All requests end at this time, answered or not. */
  readonly endsAt: number;
}

/**
 * Closes idle connections when it stops listening. Node.js would also close those on which an
 * answer has been ended but still waits to be sent.
 */
class PipelineServer extends http.Server {
  private readonly sockets = new Set<Socket>();

  constructor(
    options: http.ServerOptions,
    private readonly pipelines: Pipelines,
  ) {
    super(options);
    this.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Called by Node.js in `close`. */
  override closeIdleConnections(): void {
    for (const socket of this.sockets) {
      if (this.pipelines.isIdle(socket)) {
        socket.destroySoon();
      }
    }
  }
}

/** The ingress of a node. */
export class IngressServer {
  private readonly server: http.Server;
  private readonly access: ClientAccess;
  private readonly pipelines = createPipelines();
  private readonly requests = new Set<IngressRequest>();
  private isAccepting = true;
  private shutdown: ShutdownTimes | undefined;

  constructor(private readonly options: IngressOptions) {
    this.access = createClientAccess(options);
    const serverOptions = {
      requestTimeout: 0,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      keepAliveTimeout: DEFAULT_IDLE_MS,
      maxHeaderSize: MAX_HEAD_BYTES,
      noDelay: true,
    };
    this.server = new PipelineServer(serverOptions, this.pipelines);
    this.server.on('request', (request, response) => void this.serve(request, response));
    this.server.on('clientError', (error, socket) => this.onClientError(error, socket as Socket));
  }

  listen(host: string, port: number): Promise<number> {
    return listenOn(this.server, host, port);
  }

  /** Number of requests whose answers have not been sent to the end. */
  get inFlight(): number {
    return this.requests.size;
  }

  /** Applies the limits of a configuration. */
  setLimits(limits: MeshLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  /**
   * From this call on, the last answer on a connection closes it. From `guaranteedFrom` on,
   * requests that could still run at `endsAt` are refused.
   */
  beginShutdown(shutdown: ShutdownTimes): void {
    this.shutdown = shutdown;
  }

  /** Serves no new requests. Requests in flight continue. */
  stopAccepting(): void {
    // Closes idle connections too. The answers on other connections ask their clients to close.
    this.isAccepting = false;
    this.server.close();
  }

  /** Closes everything immediately. Clients see that the answers in flight are cut. */
  close(): void {
    this.server.close();
    for (const request of [...this.requests]) {
      request.breakOff(AnswerBreak.Stopping);
    }
    this.server.closeAllConnections();
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { socket } = request;
    if (!this.isAccepting) {
      // The connection closes once its earlier requests are answered. This request gets no answer,
      // so the client sends it again.
      this.pipelines.closeWhenIdle(socket, () => socket.end());
      return;
    }
    const pipelined = this.pipelines.begin(socket);
    if (!pipelined) {
      return;
    }
    const closeIfLast = () => this.shutdown !== undefined && this.pipelines.closeIfLast(socket);
    const place = { turn: pipelined.turn, closeIfLast };
    const served = new IngressRequest({
      options: this.options,
      access: this.access,
      request,
      response,
      place,
      latestEnd: this.latestEnd(),
      onEnded: () => this.requests.delete(served),
    });
    this.requests.add(served);
    pipelined.onDeparture((departure) => served.onDeparture(departure));
    response.on('close', pipelined.end);
    try {
      await served.run();
    } catch {
      // The code cannot tell whether the request has run, so no status would be correct.
      response.destroy();
    }
  }

  /** Steady time in milliseconds by which a request that arrives now must have ended. */
  private latestEnd(): number {
    const { shutdown } = this;
    const mustNotBeCutOff = shutdown && this.options.clock.now() >= shutdown.guaranteedFrom;
    return mustNotBeCutOff ? shutdown.endsAt : Number.POSITIVE_INFINITY;
  }

  /** Handles bytes that are no valid request: sends the answers still due, then 400 or 431. */
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
