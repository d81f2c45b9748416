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

const phaseMessage = fc.record({
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

const messages: fc.Arbitrary<RolloutMessage> = fc.oneof(phaseMessage, evidence, resignation, limit);

/** Values of unexpected types; some cannot be converted to a string or number. */
const unexpectedValues = fc.oneof(
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

/**
 * Encoded messages in which one value, on the first or second level, is replaced by an unexpected
 * one.
 */
const malformed = fc
  .tuple(messages, fc.nat(), fc.nat(), unexpectedValues)
  .map(([message, place, inner, unexpected]) => {
    const list = encodeRolloutMessage(message);
    const at = place % list.length;
    const part = list[at];
    if (Array.isArray(part) && part.length > 0 && inner % 2 === 0) {
      list[at] = part.map((each, index) => (index === inner % part.length ? unexpected : each));
    } else {
      list[at] = unexpected;
    }
    return list;
  });

/** Index of the load in the list of a report. */
const LOAD_INDEX = 11;

describe('roll-out messages', () => {
  it('are decoded as they were encoded', () => {
    fc.assert(
      fc.property(messages, (message) => {
        expect(
          decodeRolloutMessage(decodeValue(encodeValue(encodeRolloutMessage(message)))),
        ).toEqual(message);
      }),
      { seed: 31, numRuns: 200 },
    );
  });

  it('decode to undefined from any other value', () => {
    fc.assert(
      fc.property(fc.anything(), (value) => {
        expect(decodeRolloutMessage(value)).toBeUndefined();
      }),
      { seed: 32, numRuns: 300 },
    );
  });

  it('have only finite numbers of 0 or more once decoded, also from malformed lists', () => {
    fc.assert(
      fc.property(malformed, (value) => {
        const decoded = decodeRolloutMessage(value);
        expect(amountsOf(decoded).filter((each) => !(each >= 0 && each < Infinity))).toEqual([]);
      }),
      { seed: 33, numRuns: 1_000 },
    );
  });

  it.each([['1'], [undefined], [null], [-1], [Number.NaN], [{ toString: 1, valueOf: 1 }], [[3]]])(
    'are rejected, and not decoded as a load of 0, when the load is %j',
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
      expect(decodeRolloutMessage(list.with(LOAD_INDEX, load))).toBeUndefined();
    },
  );
});

function amountsOf(decoded: RolloutMessage | undefined): number[] {
  switch (decoded?.kind) {
    case RolloutMessageKind.Phase:
      return [decoded.ageMs, ...(decoded.plan?.shares.values() ?? [])];
    case RolloutMessageKind.Evidence: {
      const { ageMs, readyMs = 0, slots, load, sequence, taken, limit } = decoded;
      const routes = [...decoded.counts.values()].flatMap(
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
      return [decoded.limit];
    default:
      return [];
  }
}

describe('the state of an order', () => {
  const order = {
    service: 'desk',
    targetVersion: 'v2',
    durationMs: 12_000,
    id: '1',
    state: undefined,
  };

  const outside = { bounds: { exposureShare: 0.1, exposureSlack: 50 }, storeMs: 20 };

  it('stays valid when malformed messages arrive', () => {
    fc.assert(
      fc.property(fc.array(malformed, { maxLength: 5 }), (values) => {
        const clock = { now: () => 50 };
        const tracker = createRolloutTracker({ clock, staleMs: () => 3_000 });
        tracker.applyOrder(order);
        const decider = createRolloutDecider(clock, order.targetVersion);
        for (const value of values) {
          const list = value.with(1, 'desk').with(2, '1');
          const decoded = decodeRolloutMessage(list);
          if (decoded?.kind === RolloutMessageKind.Phase) {
            tracker.applyPhase(decoded);
          } else if (decoded?.kind === RolloutMessageKind.Evidence) {
            tracker.noteAge(decoded.service, decoded.orderId, decoded.ageMs);
            decider.addReport(decoded, decoded.ageMs);
          }
        }
        const running = tracker.running('desk');
        expect(tracker.view('desk')?.order).toEqual(order);
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
