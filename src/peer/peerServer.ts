/**
 * Serves the requests of other nodes: runs their tasks on the local owner, answers their queries,
 * store reads and quota requests, and receives their announcements.
 */
import net from 'node:net';
import type { Clock } from '../model/clock.js';
import { afterPendingReads } from '../model/readBarrier.js';
import type { SuspendAwareTimers } from '../model/suspendAwareTimers.js';
import { Cancellation } from '../owner/cancellation.js';
import { whenEnded } from '../owner/outcomeEnd.js';
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

/** Largest body, in bytes, that is buffered whole before it is sent to the back end. */
const MAX_BUFFERED_BODY_BYTES = 1024 * 1024;

/**
 * Milliseconds after a task's deadline at which the owner ends the task itself. The ingress usually
 * has done so by then.
 */
const EXPIRY_SLACK_MS = 250;

/** Longest delay in milliseconds that the runtime's timers can have. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Answer of a node that holds no part of a quota. `dryMs` is here the time in milliseconds after
 * which the requester asks this node again.
 */
const NO_QUOTA_PART = { granted: 0, dryMs: 250 };

/** Dependencies of the server. */
export interface PeerServerContext {
  readonly clock: Clock;
  readonly timers: SuspendAwareTimers;
  readonly owner: Owner;
  readonly report: () => PeerReport;
  /** The encoded configuration. Undefined while the node has none. */
  readonly configuration: () => Buffer | undefined;
  /** The encoded list of known owners. Undefined until the node has one. */
  readonly directory: () => Buffer | undefined;
  /** The encoded counts of recent requests of tenants at this node. */
  readonly tenantUse: () => Buffer;
  /** Reads from the store for another node; resolves with the encoded result. */
  readonly readStore: (question: StoreQuery) => Promise<Buffer>;
  /** Grants tokens of a tenant to another node. Undefined if this node holds no quota part. */
  readonly grantQuota: (
    tenant: string,
    wanted: number,
  ) => { readonly granted: number; readonly dryMs: number } | undefined;
  readonly connectionOptions?: ConnectionOptions;
  /** Called with each announcement of another node. */
  readonly onAnnouncement: (message: AnnouncementMessage) => void;
  /** Called with the sender of each offer, query, read and quota request; a query has a report. */
  readonly onPeerContact: (sender: PeerSender, report: PeerReport | undefined) => void;
}

/** Accepts connections from other nodes. There is one instance per node. */
export class PeerServer {
  private readonly server: net.Server;
  private readonly connections = new Set<PeerConnection>();
  private readonly exchanges = new Set<TaskExchange>();

  constructor(private readonly context: PeerServerContext) {
    this.server = net.createServer((socket) => {
      const connection = createPeerConnection(socket, this.context.connectionOptions);
      this.connections.add(connection);
      socket.on('close', () => this.connections.delete(connection));
      serveConnection(connection, this.context, this.exchanges);
    });
  }

  /** Number of tasks of other nodes whose outcomes have not been received there to the end. */
  get inFlight(): number {
    return this.exchanges.size;
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

function serveConnection(
  connection: PeerConnection,
  context: PeerServerContext,
  exchanges: Set<TaskExchange>,
): void {
  let exchange: TaskExchange | undefined;
  connection.setListener({
    onMessage: (message) => {
      switch (message.kind) {
        case MessageKind.Offer:
          context.onPeerContact(message.sender, undefined);
          exchange = startExchange(connection, message, context, exchanges);
          return;
        case MessageKind.Ask:
          context.onPeerContact(message.sender, message.report);
          connection.send(answerQuery(message, context));
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
            ...(context.grantQuota(message.tenant, message.wanted) ?? NO_QUOTA_PART),
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
          if (exchange?.onChunk(message)) {
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

function startExchange(
  connection: PeerConnection,
  offer: OfferMessage,
  context: PeerServerContext,
  exchanges: Set<TaskExchange>,
): TaskExchange {
  const exchange = new TaskExchange(connection, offer, context);
  exchanges.add(exchange);
  void exchange.run().finally(() => exchanges.delete(exchange));
  return exchange;
}

function answerQuery({ question }: QueryMessage, context: PeerServerContext): PeerMessage {
  return {
    kind: MessageKind.Told,
    report: context.report(),
    bytes: queryResult(question, context),
  };
}

function queryResult(question: PeerQuery, context: PeerServerContext): Buffer | undefined {
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

/** Runs one task of another node, from its offer until its outcome has been sent. */
class TaskExchange {
  private readonly cancellation = new Cancellation();
  private readonly arrivedAt: number;
  private receiver: BodyReceiver | undefined;
  private hasEnded = false;

  constructor(
    private readonly connection: PeerConnection,
    private readonly offer: OfferMessage,
    private readonly context: PeerServerContext,
  ) {
    this.arrivedAt = context.clock.now();
  }

  async run(): Promise<void> {
    // The ingress may have cancelled the task while this node had no time to read.
    await afterPendingReads();
    const task = this.task();
    const cancelTimer = this.startTimer(task);
    const outcome = await this.context.owner.run(task);
    // A back end may answer before it has read the whole body of the request.
    whenEnded(outcome, () => this.receiver?.discard());
    if (!this.cancellation.cancelled) {
      await this.sendOutcome(outcome).catch(() => this.connection.destroy());
      await this.connection.flushed();
    }
    cancelTimer();
    this.hasEnded = true;
  }

  /** Ends the task if the ingress has not done so: it may be gone without a trace. */
  private startTimer({ deadlineAt }: OwnerTask): () => void {
    const leftMs = Math.max(0, deadlineAt - this.context.clock.now());
    const onExpired = (): void => {
      this.cancellation.cancel();
      this.connection.destroy();
    };
    return this.context.timers.set(onExpired, Math.min(leftMs + EXPIRY_SLACK_MS, MAX_TIMER_MS));
  }

  /** Returns false if no chunk is expected. */
  onChunk(chunk: PeerMessage & { kind: MessageKind.Chunk }): boolean {
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
    const bufferedBody = body && ({ kind: 'bytes', bytes: body } as const);
    return {
      ...task,
      method,
      target,
      headers,
      deadlineAt: this.arrivedAt + task.remainingMs,
      targetAt: this.arrivedAt + task.targetMs,
      cancellation: this.cancellation,
      bufferedBody,
      loadBody: () => (bufferedBody ? Promise.resolve(bufferedBody) : this.requestBody()),
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

  private requestBody(): BodyReceiver['body'] {
    this.receiver = createBodyReceiver(this.connection, MAX_BUFFERED_BODY_BYTES);
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
    const { status, headers, isCall } = answer;
    const body = inlineBytes(answer.body);
    this.connection.send({ kind: MessageKind.Answer, status, headers, body, report, isCall });
    if (!body) {
      await this.connection.sendBody(answer.body);
    }
  }
}
