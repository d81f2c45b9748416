/**
 * Model test of leaders, operator and store with random interleavings: nodes that read late or
 * never, lost answers, writes that are executed late, and orders that are replaced in between. It
 * guards against an order with two final states or a change after the final one.
 */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { MemoryStore } from '../../lab/memory-store.js';
import { decodeRollout, PLATFORM_ROLLOUTS, ROLLOUT_KIND } from '../../platform/rollouts.js';
import { type RolloutOrder, RolloutState } from '../rollout/rolloutOrder.js';
import type { ObjectStore, StoredObject, StoreResult } from '../source/object-store.js';
import { createRolloutStatusWriter } from './rolloutStatusWriter.js';

const NODES = 3;

type Result = StoreResult<StoredObject<unknown>>;

/** How the store handles a write. */
enum Outcome {
  Answered = 0,
  AnswerLost = 1,
  CarriedOutLater = 2,
  Refused = 3,
}

/** One event of a run. */
type Step =
  | {
      readonly kind: 'write';
      readonly node: number;
      readonly state: RolloutState;
      readonly outcome: Outcome;
    }
  | { readonly kind: 'read'; readonly node: number }
  | { readonly kind: 'carry-out' }
  | { readonly kind: 'order'; readonly version: string }
  | { readonly kind: 'remove' };

const states = fc.constantFrom(...Object.values(RolloutState));
const outcomes = fc.constantFrom(
  Outcome.Answered,
  Outcome.AnswerLost,
  Outcome.CarriedOutLater,
  Outcome.Refused,
);
const nodes = fc.nat({ max: NODES - 1 });
const steps: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('write' as const),
      node: nodes,
      state: states,
      outcome: outcomes,
    }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('read' as const), node: nodes }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('carry-out' as const) }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('order' as const),
      version: fc.constantFrom('v2', 'v3'),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('remove' as const) }) },
);

/** A store that handles each write as set by `setOutcome`. */
function createFaultyStore(memory: MemoryStore) {
  let outcome = Outcome.Answered;
  const delayed: (() => void)[] = [];
  const current = () => memory.kind(ROLLOUT_KIND).get('desk');
  const failed = (failure: 'conflict' | 'not-found' | 'unknown' | 'unavailable'): Result => ({
    ok: false,
    failure,
    detail: 'model',
  });
  const carryOut = (revision: number, status: unknown): Result => {
    const stored = current();
    if (!stored) {
      return failed('not-found');
    }
    return stored.revision === revision
      ? { ok: true, value: memory.putStatus(ROLLOUT_KIND, 'desk', status) }
      : failed('conflict');
  };
  const store = {
    get: async (): Promise<Result> => {
      const stored = current();
      return stored ? { ok: true, value: stored } : failed('not-found');
    },
    replaceStatus: async (_kind: string, { revision }: { revision: number }, status: unknown) => {
      switch (outcome) {
        case Outcome.Refused:
          return failed('unavailable');
        case Outcome.CarriedOutLater:
          delayed.push(() => carryOut(revision, status));
          return failed('unknown');
        case Outcome.AnswerLost:
          carryOut(revision, status);
          return failed('unknown');
        case Outcome.Answered:
          return carryOut(revision, status);
      }
    },
  } as unknown as ObjectStore;
  return {
    store,
    setOutcome: (next: Outcome) => {
      outcome = next;
    },
    carryOutLater: () => delayed.shift()?.(),
  };
}

/** Runs the steps. Returns the sequence of states of each order that the operator has written. */
async function runSteps(stepList: readonly Step[]): Promise<(RolloutState | undefined)[][]> {
  const memory = new MemoryStore();
  const ordered = new Set<number>();
  const order = (version: string) => {
    const spec = { service: 'desk', 'target-version': version, 'duration-s': 9 };
    ordered.add(memory.put(ROLLOUT_KIND, 'desk', spec).revision);
  };
  order('v2');
  const { store, setOutcome, carryOutLater } = createFaultyStore(memory);
  const leaders = Array.from({ length: NODES }, () => {
    let lastRead = memory.kind(ROLLOUT_KIND).get('desk');
    const writer = createRolloutStatusWriter({
      clock: { now: () => 0 },
      store,
      codec: PLATFORM_ROLLOUTS,
      lastRead: () => lastRead,
      onRead: (_service, object) => {
        lastRead = object;
      },
      onWritten: () => {},
    });
    return {
      read: () => {
        lastRead = memory.kind(ROLLOUT_KIND).get('desk');
      },
      /** The order as this node has last read it. */
      order: (): RolloutOrder | undefined => lastRead && decodeRollout(lastRead),
      writer,
    };
  });
  for (const step of stepList) {
    switch (step.kind) {
      case 'write': {
        const leader = leaders[step.node];
        const lastOrder = leader?.order();
        setOutcome(step.outcome);
        if (leader && lastOrder) {
          leader.writer.write(lastOrder, step.state);
        }
        await new Promise((resolve) => setImmediate(resolve));
        break;
      }
      case 'read':
        leaders[step.node]?.read();
        break;
      case 'carry-out':
        carryOutLater();
        break;
      case 'order':
        order(step.version);
        break;
      case 'remove':
        memory.delete(ROLLOUT_KIND, 'desk');
    }
  }
  const histories: (RolloutState | undefined)[][] = [];
  for (const { object, revision } of memory.log.filter(({ gone }) => !gone)) {
    if (ordered.has(revision)) {
      histories.push([]);
    }
    histories.at(-1)?.push(decodeRollout(object)?.state);
  }
  return histories;
}

const isFinal = (state: RolloutState | undefined) =>
  state === RolloutState.Completed || state === RolloutState.RolledBack;

it('never changes the final state of an order, for any order of writes', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(steps, { maxLength: 30 }), async (stepList) => {
      for (const history of await runSteps(stepList)) {
        const finalIndex = history.findIndex(isFinal);
        const after = finalIndex < 0 ? [] : history.slice(finalIndex);
        expect(new Set(after).size).toBeLessThanOrEqual(1);
      }
    }),
    { numRuns: 2_000 },
  );
}, 60_000);
