/** Status writes of deciders that do not know of one another. */
import { describe, expect, it } from 'vitest';
import { MemoryStore, StoreView } from '../../lab/memory-store.js';
import { PLATFORM_ROLLOUTS, ROLLOUT_KIND } from '../../platform/rollouts.js';
import { type RolloutOrder, RolloutState } from '../rollout/rolloutOrder.js';
import type { StoredObject } from '../source/object-store.js';
import { createRolloutStatusWriter } from './rolloutStatusWriter.js';

const SPEC = { service: 'desk', 'target-version': 'v2', 'duration-s': 12 };

function setUp() {
  const store = new MemoryStore();
  store.put(ROLLOUT_KIND, 'desk', SPEC);
  const read = () => store.kind(ROLLOUT_KIND).get('desk') as StoredObject<unknown>;
  /** A node that has read the order at its start. */
  const decider = () => {
    const view = new StoreView(store);
    let held: StoredObject<unknown> | undefined = read();
    const results: string[] = [];
    const writer = createRolloutStatusWriter({
      clock: { now: () => 0 },
      store: view,
      codec: PLATFORM_ROLLOUTS,
      lastRead: () => held,
      onRead: (_service, object) => {
        held = object;
      },
      onWritten: (_order, state, result) => results.push(`${state} ${result}`),
    });
    const order = PLATFORM_ROLLOUTS.decode(read()) as RolloutOrder;
    const write = async (state: RolloutState) => {
      writer.write(order, state);
      await new Promise((resolve) => setTimeout(resolve, 5));
    };
    return { view, results, write };
  };
  const states = () =>
    store.log.map(({ object }) => (object.status as { state: string } | undefined)?.state);
  return { store, decider, states };
}

describe('status of roll-outs', () => {
  it('a decider that wakes late is refused, reads anew and writes nothing', async () => {
    const { decider, states } = setUp();
    const late = decider();
    const present = decider();
    await present.write(RolloutState.Running);
    await present.write(RolloutState.RolledBack);
    await late.write(RolloutState.Completed);
    await late.write(RolloutState.Completed);
    expect(late.results).toEqual(['completed conflict']);
    expect(states()).toEqual([undefined, 'running', 'rolled_back']);
  });

  it('a write whose answer was lost is not made twice', async () => {
    const { decider, states } = setUp();
    const { view, write, results } = decider();
    view.answersToLose = 1;
    await write(RolloutState.Completed);
    await write(RolloutState.Completed);
    expect(results).toEqual(['completed unknown']);
    expect(states()).toEqual([undefined, 'completed']);
  });

  it('a write that is carried out late does not end an order that has ended otherwise', async () => {
    const { decider, states } = setUp();
    const first = decider();
    first.view.writesToDelay = 1;
    first.view.lateMs = 30;
    await first.write(RolloutState.Completed);
    await first.write(RolloutState.RolledBack);
    await new Promise((resolve) => setTimeout(resolve, 60));
    expect(states()).toEqual([undefined, 'rolled_back']);
  });

  it('says nothing of another order', async () => {
    const { store, decider, states } = setUp();
    const { write } = decider();
    store.delete(ROLLOUT_KIND, 'desk');
    store.put(ROLLOUT_KIND, 'desk', SPEC);
    await write(RolloutState.Completed);
    await write(RolloutState.Completed);
    expect(states()).toEqual([undefined, undefined, undefined]);
  });

  it('is not written while the store refuses', async () => {
    const { decider, states } = setUp();
    const { view, write, results } = decider();
    view.failure = 'unavailable';
    await write(RolloutState.Running);
    view.failure = undefined;
    await write(RolloutState.Running);
    expect(results).toEqual(['running unavailable', 'running ok']);
    expect(states()).toEqual([undefined, 'running']);
  });
});
