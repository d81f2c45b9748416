/** How messages between nodes travel: each is a frame that holds a list, its kind first. */

import { encodeFrame } from '../codec/frame.js';
import { isNonNegativeInteger, isNonNegativeNumber } from '../codec/numberGuards.js';
import type { NotRunReason, OwnerNotRun, OwnerUnknown } from '../owner/owner.js';
import {
  type AnnouncementMessage,
  AnnouncementTopic,
  type AnswerMessage,
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

/** Status codes that may be written (RFC 9110, section 15). */
const LEAST_STATUS = 100;
const LARGEST_STATUS = 999;

/** Renders a message as one frame: a list that begins with its kind. */
export function encodeMessage(message: PeerMessage): Buffer {
  return encodeFrame([message.kind, ...contentOf(message)]);
}

function contentOf(message: PeerMessage): unknown[] {
  switch (message.kind) {
    case MessageKind.Offer:
      return [
        listOfSender(message.sender),
        encodeTask(message.task),
        message.method,
        message.target,
        message.headers,
        message.body,
      ];
    case MessageKind.Chunk:
      return [message.bytes, message.isLast];
    case MessageKind.Ask:
      return [message.question, listOfSender(message.sender), encodeReport(message.report)];
    case MessageKind.Read: {
      const { kind, revision, waitMs, base } = message.question;
      return [listOfSender(message.sender), kind, revision, Math.ceil(waitMs), base];
    }
    case MessageKind.News:
      return [listOfSender(message.sender), message.topic, message.content, message.shouldForward];
    case MessageKind.ReadResult:
      return [message.bytes];
    case MessageKind.QuotaAsk:
      return [listOfSender(message.sender), message.tenant, message.wanted];
    case MessageKind.QuotaGranted:
      return [message.granted, Math.ceil(message.dryMs)];
    case MessageKind.TurnedAway: {
      const { reason, arrived, retryAfterMs } = message.outcome;
      const waitMs = retryAfterMs === undefined ? undefined : Math.ceil(retryAfterMs);
      return [reason, arrived, waitMs, encodeReport(message.report)];
    }
    case MessageKind.Lost:
      return [message.outcome.reason, encodeReport(message.report)];
    case MessageKind.Answer:
      return [message.status, message.headers, message.body, encodeReport(message.report)];
    case MessageKind.Told:
      return [encodeReport(message.report), message.bytes];
    default:
      return [];
  }
}

/** Reads the value of a frame; undefined when it is no message. */
export function decodeMessage(value: unknown): PeerMessage | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [kind, ...content] = value as [MessageKind, ...unknown[]];
  switch (kind) {
    case MessageKind.Offer:
      return readOffer(content);
    case MessageKind.Chunk: {
      const [bytes, isLast] = content;
      return Buffer.isBuffer(bytes) ? { kind, bytes, isLast: isLast === true } : undefined;
    }
    case MessageKind.Ask:
      return readAsk(content);
    case MessageKind.Read:
      return readRead(content);
    case MessageKind.News:
      return readNews(content);
    case MessageKind.ReadResult: {
      const [bytes] = content;
      return Buffer.isBuffer(bytes) ? { kind, bytes } : undefined;
    }
    case MessageKind.QuotaAsk:
      return readQuotaAsk(content);
    case MessageKind.QuotaGranted: {
      const [granted, dryMs] = content;
      return isNonNegativeInteger(granted) && isNonNegativeInteger(dryMs)
        ? { kind, granted, dryMs }
        : undefined;
    }
    case MessageKind.TurnedAway:
      return readTurnedAway(content);
    case MessageKind.Lost: {
      const [reason, told] = content;
      const report = decodeReport(told);
      return report && typeof reason === 'string'
        ? { kind, outcome: unknownFor(reason as OwnerUnknown['reason']), report }
        : undefined;
    }
    case MessageKind.Answer:
      return readAnswer(content);
    case MessageKind.Told: {
      const report = decodeReport(content[0]);
      return report && { kind, report, bytes: bytesOrNone(content[1]) };
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

function readOffer([sender, task, method, target, headers, body]: unknown[]):
  | OfferMessage
  | undefined {
  const from = readSender(sender);
  const fields = decodeTask(task);
  if (!from || !fields || typeof method !== 'string' || typeof target !== 'string') {
    return undefined;
  }
  if (!isTexts(headers)) {
    return undefined;
  }
  return {
    kind: MessageKind.Offer,
    sender: from,
    task: fields,
    method,
    target,
    headers,
    body: bytesOrNone(body),
  };
}

function readAsk([question, sender, report]: unknown[]): QueryMessage | undefined {
  const from = readSender(sender);
  const told = decodeReport(report);
  const isKnown = Object.values(PeerQuery).includes(question as PeerQuery);
  return from && told && isKnown
    ? { kind: MessageKind.Ask, question: question as PeerQuery, sender: from, report: told }
    : undefined;
}

function readNews([sender, topic, news, shouldForward]: unknown[]):
  | AnnouncementMessage
  | undefined {
  const from = readSender(sender);
  const isKnown = Object.values(AnnouncementTopic).includes(topic as AnnouncementTopic);
  return from && isKnown
    ? {
        kind: MessageKind.News,
        sender: from,
        topic: topic as AnnouncementTopic,
        content: news,
        shouldForward: shouldForward === true,
      }
    : undefined;
}

function readRead([sender, kind, revision, waitMs, base]: unknown[]): ReadMessage | undefined {
  const from = readSender(sender);
  if (!from || typeof kind !== 'string' || typeof waitMs !== 'number') {
    return undefined;
  }
  const question = { kind, revision: numberOrNone(revision), waitMs, base: numberOrNone(base) };
  return { kind: MessageKind.Read, sender: from, question };
}

function readQuotaAsk([sender, tenant, wanted]: unknown[]): QuotaRequestMessage | undefined {
  const from = readSender(sender);
  return from && typeof tenant === 'string' && isNonNegativeInteger(wanted)
    ? { kind: MessageKind.QuotaAsk, sender: from, tenant, wanted }
    : undefined;
}

function unknownFor(reason: OwnerUnknown['reason']): OwnerUnknown {
  return { kind: 'unknown', reason };
}

function readTurnedAway([reason, arrived, retryAfterMs, told]: unknown[]):
  | RejectedMessage
  | undefined {
  const report = decodeReport(told);
  if (!report || typeof reason !== 'string') {
    return undefined;
  }
  const outcome: OwnerNotRun = {
    kind: 'not-run',
    reason: reason as NotRunReason,
    arrived: arrived === true,
    ...(isNonNegativeNumber(retryAfterMs) ? { retryAfterMs } : {}),
  };
  return { kind: MessageKind.TurnedAway, outcome, report };
}

function readAnswer([status, headers, body, told]: unknown[]): AnswerMessage | undefined {
  const report = decodeReport(told);
  return report && isStatus(status) && isTexts(headers)
    ? { kind: MessageKind.Answer, status, headers, body: bytesOrNone(body), report }
    : undefined;
}

/** A status code of HTTP. */
function isStatus(value: unknown): value is number {
  return isNonNegativeInteger(value) && value >= LEAST_STATUS && value <= LARGEST_STATUS;
}

function listOfSender({ address, version }: PeerSender): unknown[] {
  return [address, version];
}

function readSender(value: unknown): PeerSender | undefined {
  const [address, version] = Array.isArray(value) ? value : [];
  return typeof address === 'string' && typeof version === 'number'
    ? { address, version }
    : undefined;
}

function numberOrNone(value: unknown): number | undefined {
  return typeof value === 'number' ? value : undefined;
}

function bytesOrNone(value: unknown): Buffer | undefined {
  return Buffer.isBuffer(value) ? value : undefined;
}

function isTexts(value: unknown): value is string[] {
  return Array.isArray(value) && value.every((item) => typeof item === 'string');
}
