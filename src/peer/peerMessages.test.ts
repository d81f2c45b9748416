import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { FrameReader } from '../codec/frame.js';
import { listOfNews } from '../quarantine/crashNewsCodec.js';
import { decodeMessage, encodeMessage } from './peerCodec.js';
import { MessageKind, NewsTopic, type PeerMessage } from './peerMessages.js';

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
  bornAt: fc.option(fc.nat(), { nil: undefined }),
  slowness: fc.constantFrom(0.5, 1, 2.75),
  waiting: fc.nat(),
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
  status: fc.nat(),
  headers: fc.array(fc.string(), { maxLength: 6 }),
  body: fc.option(bytes, { nil: undefined }),
  report,
});

const chunk = fc.record({
  kind: fc.constant(MessageKind.Chunk as const),
  bytes,
  isLast: fc.boolean(),
});

const keys = fc.array(fc.record({ fingerprint: fc.string(), caller: fc.string() }));

const news = fc.record({
  kind: fc.constant(MessageKind.News as const),
  sender: fc.record({ address: fc.string(), version: fc.nat() }),
  topic: fc.constantFrom(NewsTopic.Crashes, NewsTopic.Quotas, NewsTopic.RollOuts),
  content: fc
    .record({
      life: fc.option(fc.string(), { nil: undefined }),
      suspects: keys,
      quarantined: keys,
      cleared: keys,
    })
    .map(listOfNews),
  passesOn: fc.boolean(),
});

const quotaAsk = fc.record({
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

const messages: fc.Arbitrary<PeerMessage> = fc.oneof(
  offer,
  answer,
  chunk,
  news,
  quotaAsk,
  quotaGranted,
);

describe('messages between nodes', () => {
  it('come out as they went in, cut anywhere', () => {
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

  it('are nothing when they are something else', () => {
    fc.assert(
      fc.property(fc.anything(), (value) => {
        expect(decodeMessage(value)).toBeUndefined();
      }),
      { seed: 12, numRuns: 500 },
    );
    const short = Object.values(MessageKind).flatMap((kind) =>
      typeof kind === 'number' ? [[kind, null, 7]] : [],
    );
    for (const value of short) {
      expect(() => decodeMessage(value)).not.toThrow();
    }
  });
});
