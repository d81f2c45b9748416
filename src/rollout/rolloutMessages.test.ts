import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { decodeValue, encodeValue } from '../codec/frame.js';
import { createRolloutDecider } from './rolloutDecider.js';
import {
  decodeRolloutMessage,
  encodeRolloutMessage,
  type RolloutMessage,
  RolloutMessageKind,
} from './rolloutMessages.js';
import { RolloutPhase } from './rolloutOrder.js';
import { createRolloutTracker } from './rolloutTracker.js';

const phases = Object.values(RolloutPhase).filter((each) => typeof each === 'number');
const amounts = fc.nat();
const counts = fc.record({
  answered: amounts,
  failed: amounts,
  crashes: amounts,
  durations: fc.array(amounts),
  cancellations: fc.array(amounts),
});

const phaseNews = fc.record({
  kind: fc.constant(RolloutMessageKind.Phase as const),
  service: fc.string(),
  orderId: fc.string(),
  ageMs: amounts,
  phase: fc.constantFrom(...phases),
  versions: fc.array(fc.tuple(fc.string(), fc.string())),
  leader: fc.string(),
  plan: fc.record({
    shares: fc
      .array(fc.tuple(fc.string(), fc.nat(1_000)))
      .map((shares) => new Map(shares.map(([route, units]) => [route, units / 1_000]))),
    owners: fc.array(fc.string()).map((owners) => new Set(owners)),
    isFenced: fc.boolean(),
  }),
});

const evidence = fc.record({
  kind: fc.constant(RolloutMessageKind.Evidence as const),
  service: fc.string(),
  orderId: fc.string(),
  ageMs: amounts,
  node: fc.string(),
  phase: fc.constantFrom(...phases),
  countId: fc.string(),
  sequence: amounts,
  version: fc.option(fc.string(), { nil: undefined }),
  readyMs: fc.option(amounts, { nil: undefined }),
  slots: amounts,
  load: amounts,
  isFenced: fc.boolean(),
  taken: amounts,
  limit: amounts,
  counts: fc.array(fc.tuple(fc.string(), counts)).map((routes) => new Map(routes)),
});

const resignation = fc.record({
  kind: fc.constant(RolloutMessageKind.Resignation as const),
  service: fc.string(),
  node: fc.string(),
});

const limit = fc.record({
  kind: fc.constant(RolloutMessageKind.Limit as const),
  service: fc.string(),
  orderId: fc.string(),
  node: fc.string(),
  countId: fc.string(),
  limit: amounts,
  isUnlimited: fc.boolean(),
});

const news: fc.Arbitrary<RolloutMessage> = fc.oneof(phaseNews, evidence, resignation, limit);

/** Of a type that no writer means, some of which no string or number can be made of. */
const oddities = fc.oneof(
  fc.anything(),
  fc.constantFrom(
    Number.NaN,
    Number.POSITIVE_INFINITY,
    -1,
    {},
    [],
    { toString: 1, valueOf: 1 },
    null,
    'x',
    true,
  ),
);

/** News of which one part, at any depth of two, is something else. */
const spoilt = fc.tuple(news, fc.nat(), fc.nat(), oddities).map(([told, place, inner, odd]) => {
  const list = encodeRolloutMessage(told);
  const at = place % list.length;
  const part = list[at];
  if (Array.isArray(part) && part.length > 0 && inner % 2 === 0) {
    list[at] = part.map((each, index) => (index === inner % part.length ? odd : each));
  } else {
    list[at] = odd;
  }
  return list;
});

/** Where a report's list holds the load. */
const LOAD_PLACE = 11;

describe('news of roll-outs', () => {
  it('come out as they went in', () => {
    fc.assert(
      fc.property(news, (told) => {
        expect(decodeRolloutMessage(decodeValue(encodeValue(encodeRolloutMessage(told))))).toEqual(
          told,
        );
      }),
      { seed: 31, numRuns: 200 },
    );
  });

  it('are none when they are something else', () => {
    fc.assert(
      fc.property(fc.anything(), (value) => {
        expect(decodeRolloutMessage(value)).toBeUndefined();
      }),
      { seed: 32, numRuns: 300 },
    );
  });

  it('hold nothing but amounts where amounts belong, whatever was written', () => {
    fc.assert(
      fc.property(spoilt, (value) => {
        const read = decodeRolloutMessage(value);
        expect(amountsOf(read).filter((each) => !(each >= 0 && each < Infinity))).toEqual([]);
      }),
      { seed: 33, numRuns: 1_000 },
    );
  });

  it.each([['1'], [undefined], [null], [-1], [Number.NaN], [{ toString: 1, valueOf: 1 }], [[3]]])(
    'do not say that an owner runs nothing when its load reads %j',
    (load) => {
      const list = encodeRolloutMessage({
        kind: RolloutMessageKind.Evidence,
        service: 'desk',
        orderId: '1',
        ageMs: 0,
        node: 'a',
        phase: RolloutPhase.Shift,
        countId: '1',
        sequence: 1,
        version: 'v1',
        readyMs: 0,
        slots: 4,
        load: 1,
        isFenced: true,
        taken: 0,
        limit: 0,
        counts: new Map(),
      });
      expect(decodeRolloutMessage(list)).toBeDefined();
      expect(decodeRolloutMessage(list.with(LOAD_PLACE, load))).toBeUndefined();
    },
  );
});

function amountsOf(read: RolloutMessage | undefined): number[] {
  switch (read?.kind) {
    case RolloutMessageKind.Phase:
      return [read.ageMs, ...(read.plan?.shares.values() ?? [])];
    case RolloutMessageKind.Evidence: {
      const { ageMs, readyMs = 0, slots, load, sequence, taken, limit } = read;
      const routes = [...read.counts.values()].flatMap(
        ({ answered, failed, crashes, durations, cancellations }) => [
          answered,
          failed,
          crashes,
          ...durations,
          ...cancellations,
        ],
      );
      return [ageMs, readyMs, slots, load, sequence, taken, limit, ...routes];
    }
    case RolloutMessageKind.Limit:
      return [read.limit];
    default:
      return [];
  }
}

describe('what is known of an order', () => {
  const order = {
    service: 'desk',
    targetVersion: 'v2',
    durationMs: 12_000,
    id: '1',
    state: undefined,
  };

  const outside = { bounds: { exposureShare: 0.1, exposureSlack: 50 }, storeMs: 20 };

  it('stays when news that are spoilt come', () => {
    fc.assert(
      fc.property(fc.array(spoilt, { maxLength: 5 }), (values) => {
        const clock = { now: () => 50 };
        const book = createRolloutTracker({ clock, staleMs: () => 3_000 });
        book.applyOrder(order);
        const decider = createRolloutDecider(clock, order.targetVersion);
        for (const value of values) {
          const list = value.with(1, 'desk').with(2, '1');
          const read = decodeRolloutMessage(list);
          if (read?.kind === RolloutMessageKind.Phase) {
            book.applyPhase(read);
          } else if (read?.kind === RolloutMessageKind.Evidence) {
            book.noteAge(read.service, read.orderId, read.ageMs);
            decider.addReport(read, read.ageMs);
          }
        }
        const running = book.running('desk');
        expect(book.view('desk')?.order).toEqual(order);
        if (running) {
          expect(running.ageMs).toBeGreaterThanOrEqual(0);
          expect(running.ageMs).toBeLessThan(Infinity);
          expect(() =>
            decider.step(running, { up: ['a'], contactMs: 3_000 }, outside),
          ).not.toThrow();
        }
      }),
      { seed: 34, numRuns: 500 },
    );
  });
});
