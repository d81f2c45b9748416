/** Status writes of several leaders that act independently of one another. */
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
  /** A leader that has read the order at its start. */
  const createLeader = () => {
    const view = new StoreView(store);
    let lastRead: StoredObject<unknown> | undefined = read();
    const results: string[] = [];
    const writer = createRolloutStatusWriter({
      clock: { now: () => 0 },
      store: view,
      codec: PLATFORM_ROLLOUTS,
      lastRead: () => lastRead,
      onRead: (_service, object) => {
        lastRead = object;
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
  return { store, createLeader, states };
}

describe('status of roll-outs', () => {
  it('a leader with an outdated order gets a conflict and then writes no more', async () => {
    const { createLeader, states } = setUp();
    const outdated = createLeader();
    const upToDate = createLeader();
    await upToDate.write(RolloutState.Running);
    await upToDate.write(RolloutState.RolledBack);
    await outdated.write(RolloutState.Completed);
    await outdated.write(RolloutState.Completed);
    expect(outdated.results).toEqual(['completed conflict']);
    expect(states()).toEqual([undefined, 'running', 'rolled_back']);
  });

  it('does not repeat a write whose answer was lost', async () => {
    const { createLeader, states } = setUp();
    const { view, write, results } = createLeader();
    view.answersToLose = 1;
    await write(RolloutState.Completed);
    await write(RolloutState.Completed);
    expect(results).toEqual(['completed unknown']);
    expect(states()).toEqual([undefined, 'completed']);
  });

  it('a write that is executed late does not change the final state of an order', async () => {
    const { createLeader, states } = setUp();
    const first = createLeader();
    first.view.writesToDelay = 1;
    first.view.lateMs = 30;
    await first.write(RolloutState.Completed);
    await first.write(RolloutState.RolledBack);
    await new Promise((resolve) => setTimeout(resolve, 60));
    expect(states()).toEqual([undefined, 'rolled_back']);
  });

  it('does not write the status of an order that has replaced the one read', async () => {
    const { store, createLeader, states } = setUp();
    const { write } = createLeader();
    store.delete(ROLLOUT_KIND, 'desk');
    store.put(ROLLOUT_KIND, 'desk', SPEC);
    await write(RolloutState.Completed);
    await write(RolloutState.Completed);
    expect(states()).toEqual([undefined, undefined, undefined]);
  });

  it('writes the status once the store is available again', async () => {
    const { createLeader, states } = setUp();
    const { view, write, results } = createLeader();
    view.failure = 'unavailable';
    await write(RolloutState.Running);
    view.failure = undefined;
    await write(RolloutState.Running);
    expect(results).toEqual(['running unavailable', 'running ok']);
    expect(states()).toEqual([undefined, 'running']);
  });
});
