/**
 * The messages between nodes: frames of CBOR over TCP, with one exchange at a time on a connection.
 *
 * An offer of a repeatable task may contain the body. Any other offer contains the head alone, and
 * the ingress sends the body only after the owner has sent `Admitted`. Until then the owner cannot
 * run the task, so an owner that does not respond to the offer has certainly not run it.
 */
import type { OwnerNotRun, OwnerTask, OwnerUnknown, UnknownReason } from '../owner/owner.js';
import type { OwnerReport } from '../owner/owner-report.js';
import type { StoreQuery } from '../source/object-store.js';

/** The kind of a message. The values are numbers to keep the messages short. */
export enum MessageKind {
  /** Ingress to owner: a task, with or without its body. */
  Offer = 1,
  /** In either direction: a part of a body. */
  Chunk = 2,
  /** Ingress to owner: checks that the owner still answers this exchange. */
  Ping = 3,
  /** Queries a node; see {@link PeerQuery}. */
  Ask = 4,
  /** Reads from the store by way of the reader of a zone. */
  Read = 5,
  /** In either direction: acknowledges a chunk. */
  ChunkReceived = 6,
  /** An announcement, to all nodes or to one; acknowledged with a pong. */
  News = 7,
  /** Requests tokens from a node that holds a part of a tenant's quota. */
  QuotaAsk = 8,
  /** Owner to ingress: the task is queued. */
  Queued = 10,
  /** Owner to ingress: the task is admitted; the ingress has to send the body. */
  Admitted = 11,
  /** Owner to ingress: the task is rejected; it has not run and never will. */
  TurnedAway = 12,
  /** Owner to ingress: the outcome is unknown; the task may have run. */
  Lost = 13,
  /** Owner to ingress: the back end's answer. The body follows in chunks unless it is included. */
  Answer = 14,
  /** Answer to a ping or an announcement. */
  Pong = 15,
  /** Answer to a query. */
  Told = 16,
  /** Answer to a read. */
  ReadResult = 17,
  /** Owner to ingress: the back end does not seem to answer the task. */
  Overdue = 18,
  /** Answer to a quota request. */
  QuotaGranted = 19,
}

/** The topic of an announcement. The values are numbers to keep the messages short. */
export enum AnnouncementTopic {
  /** Requests that crash back ends. */
  Crashes = 1,
  /** Use of quotas by tenants. */
  Quotas = 2,
  /** Progress of roll-outs. */
  Rollouts = 3,
}

/** What a node can be queried for. */
export enum PeerQuery {
  Status = 'status',
  Configuration = 'configuration',
  Directory = 'directory',
  /** Recent requests of tenants. */
  TenantUse = 'tenant-use',
}

/**
 * Largest body that a message can contain, in bytes. Longer bodies are sent in chunks of at most
 * this size.
 */
export const MAX_CHUNK_BYTES = 64 * 1024;

/** The part of a task that is sent besides its method, target, header fields and body. */
export interface TaskFields {
  readonly service: string;
  readonly route: string;
  readonly callerService: string;
  readonly tenant: string | undefined;
  readonly priority: number;
  readonly repeatable: boolean;
  readonly hasBody: boolean;
  /** Milliseconds until the deadline; negative once it has passed. */
  readonly remainingMs: number;
  /** Milliseconds until the target latency; negative once it has passed. */
  readonly targetMs: number;
  readonly requestId: string;
  readonly mayWait: boolean;
  readonly fingerprint: string;
}

/** The sender of a message, with the version of its configuration. */
export interface PeerSender {
  readonly address: string;
  readonly version: number;
}

/** A report with the version of the sender's configuration. */
export interface PeerReport extends OwnerReport {
  readonly version: number;
}

export interface OfferMessage {
  readonly kind: MessageKind.Offer;
  readonly sender: PeerSender;
  readonly task: TaskFields;
  readonly method: string;
  readonly target: string;
  /** End-to-end header fields as a flat list of names and values. */
  readonly headers: readonly string[];
  /** The body, if the owner may run the task at once. Undefined if it has to be requested. */
  readonly body: Buffer | undefined;
}

export interface ChunkMessage {
  readonly kind: MessageKind.Chunk;
  readonly bytes: Buffer;
  readonly isLast: boolean;
  /**
   * Why the body of an answer ends here although this is not its last chunk. The sender then closes
   * the connection.
   */
  readonly breakReason?: UnknownReason | undefined;
}

export interface QueryMessage {
  readonly kind: MessageKind.Ask;
  readonly question: PeerQuery;
  readonly sender: PeerSender;
  readonly report: PeerReport;
}

export interface ReadMessage {
  readonly kind: MessageKind.Read;
  readonly sender: PeerSender;
  readonly question: StoreQuery;
}

export interface AnnouncementMessage {
  readonly kind: MessageKind.News;
  readonly sender: PeerSender;
  readonly topic: AnnouncementTopic;
  /** Any CBOR value; the receivers of the topic decode and validate it. */
  readonly content: unknown;
  /** True if the receiver has to forward the announcement to the nodes of its zone. */
  readonly shouldForward: boolean;
}

export interface QuotaRequestMessage {
  readonly kind: MessageKind.QuotaAsk;
  readonly sender: PeerSender;
  readonly tenant: string;
  /** Number of waiting requests. */
  readonly wanted: number;
}

export interface QuotaGrantedMessage {
  readonly kind: MessageKind.QuotaGranted;
  readonly granted: number;
  /** Milliseconds until the holder has another token. */
  readonly dryMs: number;
}

export interface ReadResultMessage {
  readonly kind: MessageKind.ReadResult;
  /** The result as encoded by `storeResultCodec`. */
  readonly bytes: Buffer;
}

export interface RejectedMessage {
  readonly kind: MessageKind.TurnedAway;
  readonly outcome: OwnerNotRun;
  readonly report: PeerReport;
}

export interface OutcomeUnknownMessage {
  readonly kind: MessageKind.Lost;
  readonly outcome: OwnerUnknown;
  readonly report: PeerReport;
}

export interface AnswerMessage {
  readonly kind: MessageKind.Answer;
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly report: PeerReport;
  /** See `OwnerAnswer`. */
  readonly isCall?: boolean | undefined;
}

export interface QueryResultMessage {
  readonly kind: MessageKind.Told;
  readonly report: PeerReport;
  /** Undefined if the node does not have the requested data or only its report was requested. */
  readonly bytes: Buffer | undefined;
}

/** A message without content. */
export interface EmptyMessage {
  readonly kind:
    | MessageKind.Ping
    | MessageKind.Pong
    | MessageKind.Queued
    | MessageKind.Admitted
    | MessageKind.Overdue
    | MessageKind.ChunkReceived;
}

export type PeerMessage =
  | OfferMessage
  | ChunkMessage
  | QueryMessage
  | RejectedMessage
  | OutcomeUnknownMessage
  | AnswerMessage
  | QueryResultMessage
  | ReadMessage
  | AnnouncementMessage
  | ReadResultMessage
  | QuotaRequestMessage
  | QuotaGrantedMessage
  | EmptyMessage;

/** Extracts the fields to send from a task; `now` is the current steady time in milliseconds. */
export function taskFieldsOf(task: OwnerTask, now: number): TaskFields {
  return {
    service: task.service,
    route: task.route,
    callerService: task.callerService,
    tenant: task.tenant,
    priority: task.priority,
    repeatable: task.repeatable,
    hasBody: task.hasBody,
    remainingMs: Math.floor(task.deadlineAt - now),
    targetMs: Math.floor(task.targetAt - now),
    requestId: task.requestId,
    mayWait: task.mayWait,
    fingerprint: task.fingerprint,
  };
}
