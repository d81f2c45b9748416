/** Listens for other nodes: runs their tasks on the local owner, tells status and configuration. */
import net from 'node:net';
import type { Clock } from '../model/clock.js';
import { Cancellation } from '../owner/cancellation.js';
import type { Owner, OwnerAnswer, OwnerOutcome, OwnerTask } from '../owner/owner.js';
import type { StoreQuery } from '../source/object-store.js';
import { type BodyReceiver, createBodyReceiver } from './bodyReceiver.js';
import { listenOn } from './listenOn.js';
import {
  type ConnectionOptions,
  createPeerConnection,
  inlineBytes,
  type PeerConnection,
} from './peerConnection.js';
import {
  type AnnouncementMessage,
  MessageKind,
  type OfferMessage,
  type PeerMessage,
  PeerQuery,
  type PeerReport,
  type PeerSender,
  type QueryMessage,
} from './peerMessages.js';

/** A body up to this size, in bytes, is read whole before the back end gets it. */
const MAX_HELD_BODY_BYTES = 1024 * 1024;

/** Said by a node that holds no part of a quota: it is asked again after this time, in milliseconds. */
const NO_PART = { granted: 0, dryMs: 250 };

/** What the server needs of its node. */
export interface PeerServerContext {
  readonly clock: Clock;
  readonly owner: Owner;
  readonly report: () => PeerReport;
  /** The configuration as bytes, or undefined while none is held. */
  readonly configuration: () => Buffer | undefined;
  /** The known owners as bytes, or undefined while they are not known. */
  readonly directory: () => Buffer | undefined;
  /** What tenants have used here of late, as bytes. */
  readonly tenantUse: () => Buffer;
  /** Answers a node that reads the store by way of this one. */
  readonly readStore: (question: StoreQuery) => Promise<Buffer>;
  /** Answers a node that asks for requests of a tenant; undefined where no part of its quota is held. */
  readonly grantQuota: (
    tenant: string,
    wanted: number,
  ) => { readonly granted: number; readonly dryMs: number } | undefined;
  readonly connectionOptions?: ConnectionOptions;
  /** Another node tells news. */
  readonly onAnnouncement: (message: AnnouncementMessage) => void;
  /** Called with whatever another node says of itself. */
  readonly onPeerContact: (sender: PeerSender, report: PeerReport | undefined) => void;
}

/** One per node. */
export class PeerServer {
  private readonly server: net.Server;
  private readonly connections = new Set<PeerConnection>();

  constructor(private readonly context: PeerServerContext) {
    this.server = net.createServer((socket) => {
      const connection = createPeerConnection(socket, this.context.connectionOptions);
      this.connections.add(connection);
      socket.on('close', () => this.connections.delete(connection));
      serveConnection(connection, this.context);
    });
  }

  listen(host: string, port: number): Promise<number> {
    return listenOn(this.server, host, port);
  }

  close(): void {
    this.server.close();
    for (const connection of this.connections) {
      connection.destroy();
    }
  }
}

function serveConnection(connection: PeerConnection, context: PeerServerContext): void {
  let exchange: TaskExchange | undefined;
  connection.setListener({
    onMessage: (message) => {
      switch (message.kind) {
        case MessageKind.Offer:
          context.onPeerContact(message.sender, undefined);
          exchange = new TaskExchange(connection, message, context);
          void exchange.run();
          return;
        case MessageKind.Ask:
          context.onPeerContact(message.sender, message.report);
          connection.send(tell(message, context));
          return;
        case MessageKind.Read:
          context.onPeerContact(message.sender, undefined);
          void context.readStore(message.question).then((bytes) => {
            connection.send({ kind: MessageKind.ReadResult, bytes });
          });
          return;
        case MessageKind.QuotaAsk:
          context.onPeerContact(message.sender, undefined);
          connection.send({
            kind: MessageKind.QuotaGranted,
            ...(context.grantQuota(message.tenant, message.wanted) ?? NO_PART),
          });
          return;
        case MessageKind.News:
          context.onAnnouncement(message);
          connection.send({ kind: MessageKind.Pong });
          return;
        case MessageKind.Ping:
          connection.send({ kind: MessageKind.Pong });
          return;
        case MessageKind.Chunk:
          if (exchange?.takeChunk(message)) {
            return;
          }
          break;
        default:
      }
      connection.destroy();
    },
    onClose: () => exchange?.onClose(),
  });
}

function tell({ question }: QueryMessage, context: PeerServerContext): PeerMessage {
  return { kind: MessageKind.Told, report: context.report(), bytes: bytesFor(question, context) };
}

function bytesFor(question: PeerQuery, context: PeerServerContext): Buffer | undefined {
  switch (question) {
    case PeerQuery.Configuration:
      return context.configuration();
    case PeerQuery.Directory:
      return context.directory();
    case PeerQuery.TenantUse:
      return context.tenantUse();
    default:
      return undefined;
  }
}

/** One task of another node, from its offer to its outcome. */
class TaskExchange {
  private readonly cancellation = new Cancellation();
  private receiver: BodyReceiver | undefined;
  private hasEnded = false;

  constructor(
    private readonly connection: PeerConnection,
    private readonly offer: OfferMessage,
    private readonly context: PeerServerContext,
  ) {}

  async run(): Promise<void> {
    const outcome = await this.context.owner.run(this.task());
    this.hasEnded = true;
    this.receiver?.discard();
    if (!this.cancellation.cancelled) {
      await this.sendOutcome(outcome).catch(() => this.connection.destroy());
    }
  }

  /** False when no part of a body is due. */
  takeChunk(chunk: PeerMessage & { kind: MessageKind.Chunk }): boolean {
    if (!this.receiver || this.receiver.isComplete) {
      return false;
    }
    this.receiver.onChunk(chunk);
    return true;
  }

  onClose(): void {
    this.receiver?.abort();
    if (!this.hasEnded) {
      this.cancellation.cancel();
    }
  }

  private task(): OwnerTask {
    const { task, method, target, headers, body } = this.offer;
    const now = this.context.clock.now();
    const bufferedBody = body && ({ kind: 'bytes', bytes: body } as const);
    return {
      ...task,
      method,
      target,
      headers,
      deadlineAt: now + task.remainingMs,
      targetAt: now + task.targetMs,
      cancellation: this.cancellation,
      bufferedBody,
      loadBody: () => (bufferedBody ? Promise.resolve(bufferedBody) : this.askForBody()),
      onProgress: (stage) => {
        if (stage === 'queued' && !bufferedBody) {
          this.connection.send({ kind: MessageKind.Queued });
        }
        if (stage === 'silent') {
          this.connection.send({ kind: MessageKind.Overdue });
        }
      },
    };
  }

  private askForBody(): BodyReceiver['body'] {
    this.receiver = createBodyReceiver(this.connection, MAX_HELD_BODY_BYTES);
    this.connection.send({ kind: MessageKind.Admitted });
    return this.receiver.body;
  }

  private async sendOutcome(outcome: OwnerOutcome): Promise<void> {
    const report = this.context.report();
    switch (outcome.kind) {
      case 'not-run':
        this.connection.send({ kind: MessageKind.TurnedAway, outcome, report });
        return;
      case 'unknown':
        this.connection.send({ kind: MessageKind.Lost, outcome, report });
        return;
      default:
        await this.sendAnswer(outcome, report);
    }
  }

  private async sendAnswer(answer: OwnerAnswer, report: PeerReport): Promise<void> {
    const { status, headers } = answer;
    const body = inlineBytes(answer.body);
    this.connection.send({ kind: MessageKind.Answer, status, headers, body, report });
    if (!body) {
      await this.connection.sendBody(answer.body);
    }
  }
}
