/** Listens for other nodes: runs their tasks on the local owner, tells status and configuration. */
import http from 'node:http';
import type { Clock } from '../model/clock.js';
import { collectBody, sendBody } from '../owner/message-body.js';
import type { Owner, OwnerOutcome, OwnerTask } from '../owner/owner.js';
import { endToEndFields } from '../owner/raw-headers.js';
import { Cancellation } from '../proxy/cancellation.js';
import {
  ANSWER_OUTCOME,
  CALL_FIELD,
  decodeReport,
  decodeSender,
  decodeTask,
  encodeOutcome,
  encodeReport,
  OUTCOME_FIELD,
  type PeerReport,
  type PeerSender,
  REPORT_FIELD,
  SENDER_FIELD,
  TASK_FIELD,
  type TaskFields,
} from './peer-protocol.js';

/** A body up to this size, in bytes, is read whole before the back end gets it. */
const MAX_HELD_BODY_BYTES = 1024 * 1024;

/** Largest head of a message between nodes, in bytes: a client's own and the mesh's fields. */
const MAX_HEAD_BYTES = 256 * 1024;

/** Idle connections of other nodes are kept this long, in milliseconds. */
const KEEP_ALIVE_MS = 60_000;

/** What the server needs of its node. */
export interface PeerServerOptions {
  readonly clock: Clock;
  readonly owner: Owner;
  readonly report: () => PeerReport;
  /** The configuration as bytes, or undefined while none is held. */
  readonly configuration: () => Buffer | undefined;
  /** The known owners as bytes, or undefined while they are not known. */
  readonly directory: () => Buffer | undefined;
  /** Called with whatever another node says of itself. */
  readonly onPeer: (sender: PeerSender, report: PeerReport | undefined) => void;
}

/** One per node. */
export class PeerServer {
  private readonly server: http.Server;

  constructor(private readonly options: PeerServerOptions) {
    this.server = http.createServer({
      requestTimeout: 0,
      headersTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      maxHeaderSize: MAX_HEAD_BYTES,
      noDelay: true,
    });
    this.server.on('request', (request, response) => this.serve(request, response));
    this.server.on('checkContinue', (request, response) => this.serve(request, response));
    this.server.on('clientError', (_error, socket) => socket.destroy());
  }

  listen(host: string, port: number): Promise<number> {
    return listenOn(this.server, host, port);
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    request.on('error', () => {});
    this.notePeer(request);
    switch (request.headers[CALL_FIELD]) {
      case 'task':
        void this.runTask(request, response);
        return;
      case 'status':
        this.answer(response, 200, {}, Buffer.alloc(0));
        return;
      case 'configuration':
        this.answerBytes(response, this.options.configuration());
        return;
      case 'directory':
        this.answerBytes(response, this.options.directory());
        return;
      default:
        this.answer(response, 400, {}, Buffer.from('this address is for nodes of the mesh\n'));
    }
  }

  private notePeer(request: http.IncomingMessage): void {
    const sender = request.headers[SENDER_FIELD];
    const report = request.headers[REPORT_FIELD];
    const known = typeof sender === 'string' ? decodeSender(sender) : undefined;
    if (known) {
      this.options.onPeer(known, typeof report === 'string' ? decodeReport(report) : undefined);
    }
  }

  private async runTask(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const text = request.headers[TASK_FIELD];
    const fields = typeof text === 'string' ? decodeTask(text) : undefined;
    if (!fields) {
      this.answer(response, 400, {}, Buffer.from('a task without its fields\n'));
      return;
    }
    const cancellation = new Cancellation();
    response.on('close', () => {
      if (!response.writableFinished) {
        cancellation.cancel();
      }
    });
    const task = this.taskOf(request, response, fields, cancellation);
    const outcome = await this.options.owner.run(task);
    if (!cancellation.cancelled) {
      await this.sendOutcome(response, outcome).catch(() => response.destroy());
    }
  }

  private taskOf(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    fields: TaskFields,
    cancellation: Cancellation,
  ): OwnerTask {
    const now = this.options.clock.now();
    return {
      ...fields,
      method: request.method ?? 'GET',
      target: request.url ?? '/',
      headers: endToEndFields(request.rawHeaders, request.headers.connection),
      deadlineAt: now + fields.remainingMs,
      targetAt: now + fields.targetMs,
      cancellation,
      loadBody: () => {
        response.writeContinue();
        return collectBody(request, MAX_HELD_BODY_BYTES);
      },
      onProgress: (stage) => {
        if (stage === 'queued' && !response.headersSent) {
          response.writeProcessing();
        }
      },
    };
  }

  private async sendOutcome(response: http.ServerResponse, outcome: OwnerOutcome): Promise<void> {
    if (outcome.kind !== 'answer') {
      const status = outcome.kind === 'not-run' ? 503 : 502;
      const fields = { [OUTCOME_FIELD]: encodeOutcome(outcome) };
      this.answer(response, status, fields, Buffer.alloc(0));
      return;
    }
    const fields = [
      ...outcome.headers,
      OUTCOME_FIELD,
      ANSWER_OUTCOME,
      REPORT_FIELD,
      encodeReport(this.options.report()),
      ...(outcome.body.kind === 'bytes'
        ? ['Content-Length', String(outcome.body.bytes.length)]
        : []),
    ];
    response.writeHead(outcome.status, fields as unknown as http.OutgoingHttpHeaders);
    await sendBody(outcome.body, response);
  }

  private answerBytes(response: http.ServerResponse, bytes: Buffer | undefined): void {
    this.answer(response, bytes ? 200 : 503, {}, bytes ?? Buffer.alloc(0));
  }

  private answer(
    response: http.ServerResponse,
    status: number,
    fields: Record<string, string>,
    body: Buffer,
  ): void {
    response.writeHead(status, {
      ...fields,
      [REPORT_FIELD]: encodeReport(this.options.report()),
      'content-length': body.length,
    });
    response.end(body);
  }
}

/** Starts a server and resolves with its port. */
export function listenOn(server: http.Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      const address = server.address();
      resolve(typeof address === 'object' && address ? address.port : port);
    });
  });
}
