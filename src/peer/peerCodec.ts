/**
 * Encodes and decodes the messages between nodes. Each message is one frame that holds a list: the
 * kind of the message, then its content in a fixed order. A message is rejected if a required field
 * is malformed. A malformed optional field is read as absent or as its default, and a reason may be
 * any string.
 */

import { encodeFrame } from '../codec/frame.js';
import { isNonNegativeInteger, isNonNegativeNumber } from '../codec/numberGuards.js';
import type { NotRunReason, OwnerNotRun, OwnerUnknown, UnknownReason } from '../owner/owner.js';
import {
  type AnnouncementMessage,
  AnnouncementTopic,
  type AnswerMessage,
  type ChunkMessage,
  MessageKind,
  type OfferMessage,
  type PeerMessage,
  PeerQuery,
  type PeerSender,
  type QueryMessage,
  type QuotaRequestMessage,
  type ReadMessage,
  type RejectedMessage,
} from './peerMessages.js';
import { decodeReport, encodeReport } from './reportCodec.js';
import { decodeTask, encodeTask } from './taskCodec.js';

/** Range of status codes that an HTTP response can carry (RFC 9110, section 15). */
const MIN_STATUS = 100;
const MAX_STATUS = 999;

/** Encodes a message as one frame. */
export function encodeMessage(message: PeerMessage): Buffer {
  return encodeFrame([message.kind, ...encodeContent(message)]);
}

function encodeContent(message: PeerMessage): unknown[] {
  switch (message.kind) {
    case MessageKind.Offer:
      return [
        encodeSender(message.sender),
        encodeTask(message.task),
        message.method,
        message.target,
        message.headers,
        message.body,
      ];
    case MessageKind.Chunk:
      return [message.bytes, message.isLast, message.breakReason];
    case MessageKind.Ask:
      return [message.question, encodeSender(message.sender), encodeReport(message.report)];
    case MessageKind.Read: {
      const { kind, revision, waitMs, base } = message.question;
      return [encodeSender(message.sender), kind, revision, Math.ceil(waitMs), base];
    }
    case MessageKind.News:
      return [encodeSender(message.sender), message.topic, message.content, message.shouldForward];
    case MessageKind.ReadResult:
      return [message.bytes];
    case MessageKind.QuotaAsk:
      return [encodeSender(message.sender), message.tenant, message.wanted];
    case MessageKind.QuotaGranted:
      return [message.granted, Math.ceil(message.dryMs)];
    case MessageKind.TurnedAway: {
      const { reason, arrived, retryAfterMs, isCall } = message.outcome;
      const waitMs = retryAfterMs === undefined ? undefined : Math.ceil(retryAfterMs);
      return [reason, arrived, waitMs, encodeReport(message.report), isCall];
    }
    case MessageKind.Lost: {
      const { reason, isCall } = message.outcome;
      return [reason, encodeReport(message.report), isCall];
    }
    case MessageKind.Answer: {
      const { status, headers, body, isCall } = message;
      return [status, headers, body, encodeReport(message.report), isCall];
    }
    case MessageKind.Told:
      return [encodeReport(message.report), message.bytes];
    default:
      return [];
  }
}

/** Decodes the value of a frame. Undefined if it is not a valid message. */
export function decodeMessage(value: unknown): PeerMessage | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [kind, ...content] = value as [MessageKind, ...unknown[]];
  switch (kind) {
    case MessageKind.Offer:
      return decodeOffer(content);
    case MessageKind.Chunk:
      return decodeChunk(content);
    case MessageKind.Ask:
      return decodeQuery(content);
    case MessageKind.Read:
      return decodeRead(content);
    case MessageKind.News:
      return decodeAnnouncement(content);
    case MessageKind.ReadResult: {
      const [bytes] = content;
      return Buffer.isBuffer(bytes) ? { kind, bytes } : undefined;
    }
    case MessageKind.QuotaAsk:
      return decodeQuotaRequest(content);
    case MessageKind.QuotaGranted: {
      const [granted, dryMs] = content;
      return isNonNegativeInteger(granted) && isNonNegativeInteger(dryMs)
        ? { kind, granted, dryMs }
        : undefined;
    }
    case MessageKind.TurnedAway:
      return decodeRejection(content);
    case MessageKind.Lost: {
      const [reason, encodedReport, isCall] = content;
      const report = decodeReport(encodedReport);
      return report && typeof reason === 'string'
        ? { kind, outcome: createUnknown(reason as OwnerUnknown['reason'], isCall), report }
        : undefined;
    }
    case MessageKind.Answer:
      return decodeAnswer(content);
    case MessageKind.Told: {
      const report = decodeReport(content[0]);
      return report && { kind, report, bytes: bytesOrUndefined(content[1]) };
    }
    case MessageKind.Ping:
    case MessageKind.Pong:
    case MessageKind.Queued:
    case MessageKind.Admitted:
    case MessageKind.Overdue:
    case MessageKind.ChunkReceived:
      return { kind };
    default:
      return undefined;
  }
}

function decodeChunk([bytes, isLast, breakReason]: unknown[]): ChunkMessage | undefined {
  if (!Buffer.isBuffer(bytes)) {
    return undefined;
  }
  const chunk = { kind: MessageKind.Chunk, bytes, isLast: isLast === true } as const;
  return typeof breakReason === 'string'
    ? { ...chunk, breakReason: breakReason as UnknownReason }
    : chunk;
}

function decodeOffer([encodedSender, encodedTask, method, target, headers, body]: unknown[]):
  | OfferMessage
  | undefined {
  const peerSender = decodeSender(encodedSender);
  const taskFields = decodeTask(encodedTask);
  if (!peerSender || !taskFields || typeof method !== 'string' || typeof target !== 'string') {
    return undefined;
  }
  if (!isStringArray(headers)) {
    return undefined;
  }
  return {
    kind: MessageKind.Offer,
    sender: peerSender,
    task: taskFields,
    method,
    target,
    headers,
    body: bytesOrUndefined(body),
  };
}

function decodeQuery([question, encodedSender, encodedReport]: unknown[]):
  | QueryMessage
  | undefined {
  const peerSender = decodeSender(encodedSender);
  const peerReport = decodeReport(encodedReport);
  const isKnown = Object.values(PeerQuery).includes(question as PeerQuery);
  return peerSender && peerReport && isKnown
    ? {
        kind: MessageKind.Ask,
        question: question as PeerQuery,
        sender: peerSender,
        report: peerReport,
      }
    : undefined;
}

function decodeAnnouncement([encodedSender, topic, topicContent, shouldForward]: unknown[]):
  | AnnouncementMessage
  | undefined {
  const peerSender = decodeSender(encodedSender);
  const isKnown = Object.values(AnnouncementTopic).includes(topic as AnnouncementTopic);
  return peerSender && isKnown
    ? {
        kind: MessageKind.News,
        sender: peerSender,
        topic: topic as AnnouncementTopic,
        content: topicContent,
        shouldForward: shouldForward === true,
      }
    : undefined;
}

function decodeRead([encodedSender, kind, revision, waitMs, base]: unknown[]):
  | ReadMessage
  | undefined {
  const peerSender = decodeSender(encodedSender);
  if (!peerSender || typeof kind !== 'string' || typeof waitMs !== 'number') {
    return undefined;
  }
  const question = {
    kind,
    revision: numberOrUndefined(revision),
    waitMs,
    base: numberOrUndefined(base),
  };
  return { kind: MessageKind.Read, sender: peerSender, question };
}

function decodeQuotaRequest([encodedSender, tenant, wanted]: unknown[]):
  | QuotaRequestMessage
  | undefined {
  const peerSender = decodeSender(encodedSender);
  return peerSender && typeof tenant === 'string' && isNonNegativeInteger(wanted)
    ? { kind: MessageKind.QuotaAsk, sender: peerSender, tenant, wanted }
    : undefined;
}

function createUnknown(reason: OwnerUnknown['reason'], isCall: unknown): OwnerUnknown {
  return { kind: 'unknown', reason, ...callMark(isCall) };
}

function decodeRejection([reason, arrived, retryAfterMs, encodedReport, isCall]: unknown[]):
  | RejectedMessage
  | undefined {
  const report = decodeReport(encodedReport);
  if (!report || typeof reason !== 'string') {
    return undefined;
  }
  const outcome: OwnerNotRun = {
    kind: 'not-run',
    reason: reason as NotRunReason,
    arrived: arrived === true,
    ...(isNonNegativeNumber(retryAfterMs) ? { retryAfterMs } : {}),
    ...callMark(isCall),
  };
  return { kind: MessageKind.TurnedAway, outcome, report };
}

function decodeAnswer([status, headers, body, encodedReport, isCall]: unknown[]):
  | AnswerMessage
  | undefined {
  const report = decodeReport(encodedReport);
  if (!report || !isStatus(status) || !isStringArray(headers)) {
    return undefined;
  }
  return {
    kind: MessageKind.Answer,
    status,
    headers,
    body: bytesOrUndefined(body),
    report,
    ...callMark(isCall),
  };
}

function callMark(isCall: unknown): { readonly isCall?: true } {
  return isCall === true ? { isCall } : {};
}

/** True for a status code of HTTP. */
function isStatus(value: unknown): value is number {
  return isNonNegativeInteger(value) && value >= MIN_STATUS && value <= MAX_STATUS;
}

function encodeSender({ address, version }: PeerSender): unknown[] {
  return [address, version];
}

function decodeSender(value: unknown): PeerSender | undefined {
  const [address, version] = Array.isArray(value) ? value : [];
  return typeof address === 'string' && typeof version === 'number'
    ? { address, version }
    : undefined;
}

function numberOrUndefined(value: unknown): number | undefined {
  return typeof value === 'number' ? value : undefined;
}

function bytesOrUndefined(value: unknown): Buffer | undefined {
  return Buffer.isBuffer(value) ? value : undefined;
}

function isStringArray(value: unknown): value is string[] {
  return Array.isArray(value) && value.every((item) => typeof item === 'string');
}
