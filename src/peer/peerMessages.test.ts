import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { FrameReader } from '../codec/frame.js';
import { encodeCrashAnnouncement } from '../quarantine/crashAnnouncementCodec.js';
import { decodeMessage, encodeMessage } from './peerCodec.js';
import {
  AnnouncementTopic,
  MessageKind,
  type PeerMessage,
  type PeerReport,
} from './peerMessages.js';

const report = fc.record({
  service: fc.option(fc.string(), { nil: undefined }),
  ready: fc.boolean(),
  inFlight: fc.nat(),
  queued: fc.nat(),
  slots: fc.nat(),
  meanServiceMs: fc.option(fc.nat(), { nil: undefined }),
  version: fc.nat(),
  failureShare: fc.constantFrom(0, 0.25, 1),
  backEndVersion: fc.option(fc.string(), { nil: undefined }),
  bornAt: fc.option(fc.maxSafeNat(), { nil: undefined }),
  slowness: fc.constantFrom(0.5, 1, 2.75),
  waiting: fc.nat(),
  limitPerS: fc.option(fc.nat(), { nil: undefined }),
  limitWaitMs: fc.nat(),
  callRates: fc.option(
    fc.array(fc.record({ service: fc.string(), perRun: fc.constantFrom(0, 0.25, 1.5) })),
    { nil: undefined },
  ),
});

const bytes = fc.uint8Array({ maxLength: 200 }).map((array) => Buffer.from(array));

const offer = fc.record({
  kind: fc.constant(MessageKind.Offer as const),
  sender: fc.record({ address: fc.string(), version: fc.nat() }),
  task: fc.record({
    service: fc.string(),
    route: fc.string(),
    callerService: fc.string(),
    tenant: fc.option(fc.string(), { nil: undefined }),
    priority: fc.nat(),
    repeatable: fc.boolean(),
    hasBody: fc.boolean(),
    remainingMs: fc.integer(),
    targetMs: fc.integer(),
    requestId: fc.string(),
    mayWait: fc.boolean(),
    fingerprint: fc.string(),
  }),
  method: fc.string(),
  target: fc.string(),
  headers: fc.array(fc.string(), { maxLength: 6 }),
  body: fc.option(bytes, { nil: undefined }),
});

const answer = fc.record({
  kind: fc.constant(MessageKind.Answer as const),
  status: fc.integer({ min: 100, max: 999 }),
  headers: fc.array(fc.string(), { maxLength: 6 }),
  body: fc.option(bytes, { nil: undefined }),
  report,
  isCall: fc.constantFrom(true, undefined),
});

const chunk = fc.record({
  kind: fc.constant(MessageKind.Chunk as const),
  bytes,
  isLast: fc.boolean(),
  breakReason: fc.constantFrom('connection-lost' as const, 'cancelled' as const, undefined),
});

const requestKeys = fc.array(fc.record({ fingerprint: fc.string(), caller: fc.string() }));

const announcement = fc.record({
  kind: fc.constant(MessageKind.News as const),
  sender: fc.record({ address: fc.string(), version: fc.nat() }),
  topic: fc.constantFrom(
    AnnouncementTopic.Crashes,
    AnnouncementTopic.Quotas,
    AnnouncementTopic.Rollouts,
  ),
  content: fc
    .record({
      incarnation: fc.option(fc.string(), { nil: undefined }),
      suspects: requestKeys,
      quarantined: requestKeys,
      cleared: requestKeys,
    })
    .map(encodeCrashAnnouncement),
  shouldForward: fc.boolean(),
});

const quotaRequest = fc.record({
  kind: fc.constant(MessageKind.QuotaAsk as const),
  sender: fc.record({ address: fc.string(), version: fc.nat() }),
  tenant: fc.string(),
  wanted: fc.nat(),
});

const quotaGranted = fc.record({
  kind: fc.constant(MessageKind.QuotaGranted as const),
  granted: fc.nat(),
  dryMs: fc.nat(),
});

const outcomeUnknown = fc.record({
  kind: fc.constant(MessageKind.Lost as const),
  outcome: fc.record({
    kind: fc.constant('unknown' as const),
    reason: fc.constant('connection-lost' as const),
    isCall: fc.constantFrom(true, undefined),
  }),
  report,
});

const rejection = fc.record({
  kind: fc.constant(MessageKind.TurnedAway as const),
  outcome: fc.record({
    kind: fc.constant('not-run' as const),
    reason: fc.constant('draining' as const),
    arrived: fc.boolean(),
    retryAfterMs: fc.nat(),
    isCall: fc.constantFrom(true, undefined),
  }),
  report,
});

const messages: fc.Arbitrary<PeerMessage> = fc.oneof(
  outcomeUnknown,
  rejection,
  offer,
  answer,
  chunk,
  announcement,
  quotaRequest,
  quotaGranted,
);

/** Encodes a message and returns the frame value that the receiver reads. */
function frameValueOf(sent: PeerMessage): unknown {
  return new FrameReader().read(encodeMessage(sent))?.[0];
}

/** Replaces one item of nested lists; the path has an index for each level. */
function replaceAt(
  value: unknown,
  [index = 0, ...deeper]: readonly number[],
  replacement: unknown,
): unknown {
  if (!Array.isArray(value) || value.length === 0) {
    return replacement;
  }
  const at = index % value.length;
  return value.with(
    at,
    deeper.length > 0 ? replaceAt(value[at], deeper, replacement) : replacement,
  );
}

/** The numbers of a message that decisions depend on. */
function amountsOf(message: PeerMessage): (number | undefined)[] {
  switch (message.kind) {
    case MessageKind.QuotaAsk:
      return [message.wanted];
    case MessageKind.QuotaGranted:
      return [message.granted, message.dryMs];
    case MessageKind.Offer:
      return [message.task.priority];
    case MessageKind.TurnedAway:
      return [message.outcome.retryAfterMs, ...amountsOfReport(message.report)];
    case MessageKind.Answer:
      return [message.status, ...amountsOfReport(message.report)];
    case MessageKind.Lost:
      return amountsOfReport(message.report);
    default:
      return [];
  }
}

function amountsOfReport(peerReport: PeerReport): (number | undefined)[] {
  const { inFlight, queued, slots, meanServiceMs, version } = peerReport;
  const { failureShare, bornAt, slowness, waiting } = peerReport;
  return [inFlight, queued, slots, meanServiceMs, version, failureShare, bornAt, slowness, waiting];
}

function isAmount(value: number | undefined): boolean {
  return value === undefined || (value >= 0 && value < Number.POSITIVE_INFINITY);
}

describe('messages between nodes', () => {
  it('decode to what was encoded, wherever the bytes are split', () => {
    fc.assert(
      fc.property(fc.array(messages, { maxLength: 4 }), fc.nat(), (sent, seed) => {
        const whole = Buffer.concat(sent.map(encodeMessage));
        const at = whole.length === 0 ? 0 : seed % whole.length;
        const reader = new FrameReader();
        const values = [whole.subarray(0, at), whole.subarray(at)].flatMap(
          (part) => reader.read(part) ?? [],
        );
        expect(values.map(decodeMessage)).toEqual(sent);
      }),
      { seed: 11, numRuns: 200 },
    );
  });

  it('decode to valid numbers or to undefined when one part is replaced by any value', () => {
    const replacements = fc.oneof(
      fc.anything(),
      fc.constantFrom({ toString: 1, valueOf: 1 }, Number.NaN, Infinity, -1, null, [], {}),
    );
    const paths = fc.array(fc.nat(), { minLength: 1, maxLength: 3 });
    fc.assert(
      fc.property(messages, paths, replacements, (sent, path, replacement) => {
        const value = replaceAt(frameValueOf(sent), path, replacement);
        const decoded = decodeMessage(value);
        expect(decoded === undefined || amountsOf(decoded).every(isAmount)).toBe(true);
      }),
      { seed: 14, numRuns: 3_000 },
    );
  });

  it('decode to undefined from other values, and without an error from short lists', () => {
    fc.assert(
      fc.property(fc.anything(), (value) => {
        expect(decodeMessage(value)).toBeUndefined();
      }),
      { seed: 12, numRuns: 500 },
    );
    const shortLists = Object.values(MessageKind).flatMap((kind) =>
      typeof kind === 'number' ? [[kind, null, 7]] : [],
    );
    for (const value of shortLists) {
      expect(() => decodeMessage(value)).not.toThrow();
    }
  });
});
