/**
 * The messages by which nodes hand tasks to one another: frames of CBOR on TCP, one exchange on a
 * connection at a time.
 *
 * A task that may be repeated travels with its body in one message. Any other is offered by its
 * head alone: only after `admitted` does the ingress send the body, so until then the owner cannot
 * have run the task, and an owner that stays silent has certainly not run it.
 */
import type { OwnerNotRun, OwnerTask, OwnerUnknown } from '../owner/owner.js';
import type { OwnerReport } from '../owner/owner-report.js';
import type { StoreQuery } from '../source/object-store.js';

/** What a message is. Numbers, since they travel with every message. */
export enum MessageKind {
  /** Ingress to owner: a task, with its body or without. */
  Offer = 1,
  /** Either way: a part of a body. */
  Chunk = 2,
  /** Ingress to owner: is this exchange still alive? */
  Ping = 3,
  /** Asks for a node's status, its configuration or the owners it knows. */
  Ask = 4,
  /** Asks a node that reads the store for its zone. */
  Read = 5,
  /** Either way: a chunk has been received. */
  ChunkReceived = 6,
  /** What a node has found out and all others are to know; answered like a ping. */
  News = 7,
  /** Asks a node that holds a part of a tenant's quota for requests. */
  QuotaAsk = 8,
  /** Owner to ingress: the task waits. */
  Queued = 10,
  /** Owner to ingress: send the body. */
  Admitted = 11,
  /** Owner to ingress: the task has not run and never will. */
  TurnedAway = 12,
  /** Owner to ingress: the task may have run. */
  Lost = 13,
  /** Owner to ingress: the back end's answer; the body follows in chunks unless it is in here. */
  Answer = 14,
  /** Answer to a ping. */
  Pong = 15,
  /** Answer to an ask. */
  Told = 16,
  /** Answer to a read. */
  ReadResult = 17,
  /** Owner to ingress: the back end does not seem to answer the task. */
  Overdue = 18,
  /** Answer to a quota ask. */
  QuotaGranted = 19,
}

/** What news is about. Numbers, since they travel with every message. */
export enum AnnouncementTopic {
  /** Requests that crash back ends. */
  Crashes = 1,
  /** What tenants have used of their quotas. */
  Quotas = 2,
  /** How a roll-out goes. */
  Rollouts = 3,
}

/** What may be asked of a node. */
export enum PeerQuery {
  Status = 'status',
  Configuration = 'configuration',
  Directory = 'directory',
  /** What tenants have used of late. */
  TenantUse = 'tenant-use',
}

/**
 * Bodies up to this size, in bytes, may travel inside a message; longer ones travel in chunks of this
 * size at the most.
 */
export const MAX_CHUNK_BYTES = 64 * 1024;

/** What travels of a task beside its method, target, fields and body. */
export interface TaskFields {
  readonly service: string;
  readonly route: string;
  readonly callerService: string;
  readonly tenant: string | undefined;
  readonly priority: number;
  readonly repeatable: boolean;
  readonly hasBody: boolean;
  /** Milliseconds that are left. */
  readonly remainingMs: number;
  /** Milliseconds until the target latency. */
  readonly targetMs: number;
  readonly requestId: string;
  readonly mayWait: boolean;
  readonly fingerprint: string;
}

/** Who sends a message. */
export interface PeerSender {
  readonly address: string;
  readonly version: number;
}

/** A report with the sender's configuration version. */
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
  /** Present if the owner may run the task at once. */
  readonly body: Buffer | undefined;
}

export interface ChunkMessage {
  readonly kind: MessageKind.Chunk;
  readonly bytes: Buffer;
  readonly isLast: boolean;
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
  /** A value of CBOR; who listens to the topic reads and checks it. */
  readonly content: unknown;
  /** True if the receiver is to pass it on to the nodes of its zone. */
  readonly shouldForward: boolean;
}

export interface QuotaRequestMessage {
  readonly kind: MessageKind.QuotaAsk;
  readonly sender: PeerSender;
  readonly tenant: string;
  /** Requests that wait. */
  readonly wanted: number;
}

export interface QuotaGrantedMessage {
  readonly kind: MessageKind.QuotaGranted;
  readonly granted: number;
  /** Milliseconds until there is more. */
  readonly dryMs: number;
}

export interface ReadResultMessage {
  readonly kind: MessageKind.ReadResult;
  /** See `storeResultCodec`. */
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
}

export interface QueryResultMessage {
  readonly kind: MessageKind.Told;
  readonly report: PeerReport;
  /** Undefined when the node does not know what was asked. */
  readonly bytes: Buffer | undefined;
}

/** A message without a content of its own. */
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

/** The fields of a task as they travel; `now` is the present steady time in milliseconds. */
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
