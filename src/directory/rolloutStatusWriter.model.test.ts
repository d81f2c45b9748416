/**
 * Deciders, operator and store as a small machine, run through random interleavings: nodes that read late
 * or not at all, answers that are lost, writes that are carried out later, orders replaced meanwhile.
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

/** How the store treats a write. */
enum Fate {
  Answered = 0,
  AnswerLost = 1,
  CarriedOutLater = 2,
  Refused = 3,
}

/** One thing that happens. */
type Step =
  | {
      readonly kind: 'write';
      readonly node: number;
      readonly state: RolloutState;
      readonly fate: Fate;
    }
  | { readonly kind: 'read'; readonly node: number }
  | { readonly kind: 'carry-out' }
  | { readonly kind: 'order'; readonly version: string }
  | { readonly kind: 'remove' };

const states = fc.constantFrom(...Object.values(RolloutState));
const fates = fc.constantFrom(Fate.Answered, Fate.AnswerLost, Fate.CarriedOutLater, Fate.Refused);
const nodes = fc.nat({ max: NODES - 1 });
const steps: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('write' as const),
      node: nodes,
      state: states,
      fate: fates,
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

/** A store whose writes meet the fate that is set, and what was written under which revision. */
function createFatefulStore(memory: MemoryStore) {
  let fate = Fate.Answered;
  const later: (() => void)[] = [];
  const holder = () => memory.kind(ROLLOUT_KIND).get('desk');
  const failed = (failure: 'conflict' | 'not-found' | 'unknown' | 'unavailable'): Result => ({
    ok: false,
    failure,
    detail: 'model',
  });
  const carryOut = (revision: number, status: unknown): Result => {
    const held = holder();
    if (!held) {
      return failed('not-found');
    }
    return held.revision === revision
      ? { ok: true, value: memory.putStatus(ROLLOUT_KIND, 'desk', status) }
      : failed('conflict');
  };
  const store = {
    get: async (): Promise<Result> => {
      const held = holder();
      return held ? { ok: true, value: held } : failed('not-found');
    },
    replaceStatus: async (_kind: string, { revision }: { revision: number }, status: unknown) => {
      switch (fate) {
        case Fate.Refused:
          return failed('unavailable');
        case Fate.CarriedOutLater:
          later.push(() => carryOut(revision, status));
          return failed('unknown');
        case Fate.AnswerLost:
          carryOut(revision, status);
          return failed('unknown');
        case Fate.Answered:
          return carryOut(revision, status);
      }
    },
  } as unknown as ObjectStore;
  return {
    store,
    setFate: (next: Fate) => {
      fate = next;
    },
    carryOutLater: () => later.shift()?.(),
  };
}

/** Plays the steps; the states that the order went through from each word of the operator to the next. */
async function play(played: readonly Step[]): Promise<(RolloutState | undefined)[][]> {
  const memory = new MemoryStore();
  const ordered = new Set<number>();
  const order = (version: string) => {
    const spec = { service: 'desk', 'target-version': version, 'duration-s': 9 };
    ordered.add(memory.put(ROLLOUT_KIND, 'desk', spec).revision);
  };
  order('v2');
  const { store, setFate, carryOutLater } = createFatefulStore(memory);
  const deciders = Array.from({ length: NODES }, () => {
    let held = memory.kind(ROLLOUT_KIND).get('desk');
    const writer = createRolloutStatusWriter({
      clock: { now: () => 0 },
      store,
      codec: PLATFORM_ROLLOUTS,
      lastRead: () => held,
      onRead: (_service, object) => {
        held = object;
      },
      onWritten: () => {},
    });
    return {
      read: () => {
        held = memory.kind(ROLLOUT_KIND).get('desk');
      },
      /** What it takes for the order, however old. */
      order: (): RolloutOrder | undefined => held && decodeRollout(held),
      writer,
    };
  });
  for (const step of played) {
    switch (step.kind) {
      case 'write': {
        const decider = deciders[step.node];
        const known = decider?.order();
        setFate(step.fate);
        if (decider && known) {
          decider.writer.write(known, step.state);
        }
        await new Promise((resolve) => setImmediate(resolve));
        break;
      }
      case 'read':
        deciders[step.node]?.read();
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

const isEnd = (state: RolloutState | undefined) =>
  state === RolloutState.Completed || state === RolloutState.RolledBack;

it('no order ends both ways, or runs again after its end, whoever writes when', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(steps, { maxLength: 30 }), async (played) => {
      for (const history of await play(played)) {
        const end = history.findIndex(isEnd);
        const after = end < 0 ? [] : history.slice(end);
        expect(new Set(after).size).toBeLessThanOrEqual(1);
      }
    }),
    { numRuns: 2_000 },
  );
}, 60_000);
