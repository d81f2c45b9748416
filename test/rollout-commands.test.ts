/**
 * The operators' roll-out commands against the store stand-in: no impossible order is written, no
 * running order is replaced by mistake, and conflicts and an unavailable store have their own exit
 * codes.
 */
import { describe, expect, it } from 'vitest';
import { CONFIGURATION_KIND, CONFIGURATION_NAME } from '../lab/labOutside.js';
import { MemoryStore, StoreView } from '../lab/memory-store.js';
import { ROLLOUT_KIND } from '../platform/rollouts.js';
import { ExitCode } from '../src/cli/exitCode.js';
import { runCommand as run } from './operatorCommand.js';

function storeWithDesk(): MemoryStore {
  const store = new MemoryStore();
  store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, {
    version: 1,
    routes: [],
    services: [{ name: 'desk' }],
  });
  return store;
}

const start = (store: MemoryStore, ...more: string[]) =>
  run(store, ['rollout', 'start', 'desk', 'v2', '--duration', '15', ...more]);

const orderIn = (store: MemoryStore) => store.kind(ROLLOUT_KIND).get('desk');

const codesOf = ({ results }: Awaited<ReturnType<typeof run>>) =>
  ((results[0]?.findings ?? []) as { code: string }[]).map(({ code }) => code);

describe('rollout', () => {
  it('start writes an order, and status reports its state', async () => {
    const store = storeWithDesk();
    expect((await start(store)).code).toBe(ExitCode.Ok);
    expect(orderIn(store)?.spec).toEqual({
      service: 'desk',
      'target-version': 'v2',
      'duration-s': 15,
    });
    const order = { service: 'desk', version: 'v2', seconds: 15 };
    expect((await run(store, ['rollout', 'status'])).results).toEqual([
      { rollouts: [{ ...order, state: 'ordered' }] },
    ]);
    store.putStatus(ROLLOUT_KIND, 'desk', { 'target-version': 'v2', state: 'running' });
    expect((await run(store, ['rollout', 'status', 'desk'])).results).toEqual([
      { rollouts: [{ ...order, state: 'running' }] },
    ]);
  });

  it('start rejects an order with several faults, each with its finding, and writes nothing', async () => {
    const store = storeWithDesk();
    const words = ['rollout', 'start', 'shop', 'v2', '--duration', '3'];
    const refused = await run(store, words);
    expect(refused.code).toBe(ExitCode.Rejected);
    expect(codesOf(refused)).toEqual(['unknown-service', 'duration-too-short']);
    expect(store.kind(ROLLOUT_KIND).size).toBe(0);
  });

  it('start replaces a running order only with --replace', async () => {
    const store = storeWithDesk();
    await start(store);
    const second = ['rollout', 'start', 'desk', 'v3', '--duration', '15'];
    expect(codesOf(await run(store, second))).toEqual(['roll-out-runs']);
    expect((await run(store, [...second, '--replace'])).code).toBe(ExitCode.Ok);
    expect(orderIn(store)?.spec).toMatchObject({ 'target-version': 'v3' });
  });

  it.each(['15', '20'])(
    'start orders a version again that was rolled back, for %s seconds, and its old status is removed',
    async (duration) => {
      const store = storeWithDesk();
      await start(store);
      const first = orderIn(store)?.made;
      store.putStatus(ROLLOUT_KIND, 'desk', { 'target-version': 'v2', state: 'rolled_back' });
      const again = ['rollout', 'start', 'desk', 'v2', '--duration', duration];
      expect((await run(store, again)).code).toBe(ExitCode.Ok);
      expect(orderIn(store)?.status).toBeUndefined();
      expect(orderIn(store)?.made).not.toBe(first);
      expect((await run(store, ['rollout', 'status'])).results).toEqual([
        {
          rollouts: [
            { service: 'desk', version: 'v2', seconds: Number(duration), state: 'ordered' },
          ],
        },
      ]);
    },
  );

  it('start reports a conflict with another writer, and an unavailable store', async () => {
    const store = storeWithDesk();
    await start(store);
    store.putStatus(ROLLOUT_KIND, 'desk', { 'target-version': 'v2', state: 'completed' });
    const view = new StoreView(store);
    const get = view.get.bind(view);
    view.get = async (kind, name) => {
      const result = await get(kind, name);
      store.put(ROLLOUT_KIND, 'desk', { service: 'desk', 'target-version': 'v9', 'duration-s': 9 });
      return result as never;
    };
    const words = ['rollout', 'start', 'desk', 'v2', '--duration', '15'];
    expect((await run(store, words, view)).code).toBe(ExitCode.Conflict);
    view.failure = 'unavailable';
    expect((await run(store, words, view)).code).toBe(ExitCode.Unavailable);
  });

  it('watch ends with the order and prints its last state', async () => {
    const store = storeWithDesk();
    await start(store);
    const watched = run(store, ['rollout', 'watch', 'desk', '--timeout', '5']);
    setTimeout(() => {
      store.putStatus(ROLLOUT_KIND, 'desk', { 'target-version': 'v2', state: 'rolled_back' });
    }, 100);
    const { code, results } = await watched;
    expect(code).toBe(ExitCode.Rejected);
    expect(results.map(({ state }) => state)).toEqual(['ordered', 'rolled_back']);
    expect((await run(store, ['rollout', 'watch', 'shop', '--timeout', '0.6'])).code).toBe(
      ExitCode.TimedOut,
    );
  });
});
