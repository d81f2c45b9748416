/**
 * Serves the requests of other nodes: runs their tasks on the local owner, answers their queries,
 * store reads and quota requests, and receives their announcements.
 */
import net from 'node:net';
import type { StoreQuery } from '../source/object-store.js';
import { listenOn } from './listenOn.js';
import {
  type ConnectionOptions,
  createPeerConnection,
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
import { TaskExchange, type TaskExchangeContext } from './taskExchange.js';

/**
 * Answer of a node that holds no part of a quota. `dryMs` is here the time in milliseconds after
 * which the requester asks this node again.
 */
const NO_QUOTA_PART = { granted: 0, dryMs: 250 };

/** Dependencies of the server. */
export interface PeerServerContext extends TaskExchangeContext {
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
