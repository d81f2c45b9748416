import { describe, expect, it, vi } from 'vitest';
import { CollectionWatcher } from './collection-watcher.js';
import { type ConfigurationCandidate, ConfigurationHolder } from './configuration-holder.js';
import type { ObjectStore, StoreFailure, StoreResult } from './object-store.js';

function candidateOf(version: number, pathPrefix = '/a/'): ConfigurationCandidate {
  return {
    version,
    candidate: {
      version,
      routes: [
        {
          name: 'a',
          host: 'a.example',
          pathPrefix,
          kind: 'safe',
          split: [{ service: 'desk', weight: 1 }],
        },
      ],
      services: [{ name: 'desk' }],
    },
    bytes: () => Buffer.from(String(version)),
  };
}

describe('ConfigurationHolder', () => {
  it('never replaces the version in force by the same or an older one', () => {
    const holder = new ConfigurationHolder();
    expect(holder.apply(candidateOf(5)).kind).toBe('in-force');
    expect(holder.apply(candidateOf(4)).kind).toBe('not-newer');
    expect(holder.apply(candidateOf(5)).kind).toBe('not-newer');
    expect(holder.version).toBe(5);
    expect(holder.apply(candidateOf(9)).kind).toBe('in-force');
  });

  it('rejects a faulty version as a whole, reports it once and keeps the version in force', () => {
    const holder = new ConfigurationHolder();
    holder.apply(candidateOf(5));
    expect(holder.apply(candidateOf(6, 'odd'))).toMatchObject({ kind: 'held-off', version: 6 });
    expect(holder.apply(candidateOf(6, 'odd')).kind).toBe('not-newer');
    expect(holder.version).toBe(5);
    expect(holder.routes?.match('a.example', '/a/1')).toBeDefined();
    expect(holder.apply(candidateOf(7)).kind).toBe('in-force');
  });
});

/** A store that returns prepared responses in order; after the last one, calls do not return. */
class ScriptedStore implements ObjectStore {
  readonly calls: string[] = [];

  constructor(private readonly script: (StoreFailure | { revision: number; names: string[] })[]) {}

  list<Spec>(): Promise<StoreResult<never>> {
    this.calls.push('list');
    return this.next<Spec>('items');
  }

  watch<Spec>(_kind: string, revision: number): Promise<StoreResult<never>> {
    this.calls.push(`watch ${revision}`);
    return this.next<Spec>('events');
  }

  get(): Promise<never> {
    throw new Error('not used');
  }

  create(): Promise<never> {
    throw new Error('not used');
  }

  replace(): Promise<never> {
    throw new Error('not used');
  }

  replaceStatus(): Promise<never> {
    throw new Error('not used');
  }

  remove(): Promise<never> {
    throw new Error('not used');
  }

  probe(): Promise<never> {
    throw new Error('not used');
  }

  closeIdle(): void {}

  close(): void {}

  private next<Spec>(shape: 'items' | 'events'): Promise<StoreResult<never>> {
    const step = this.script.shift();
    if (step === undefined) {
      return new Promise(() => {});
    }
    if (typeof step === 'string') {
      return Promise.resolve({ ok: false, failure: step, detail: '' });
    }
    const objects = step.names.map((name) => ({ name, revision: step.revision, spec: {} as Spec }));
    const value =
      shape === 'items'
        ? { items: objects, revision: step.revision }
        : {
            events: objects.map((object) => ({ object, gone: false })),
            revision: step.revision,
          };
    return Promise.resolve({ ok: true, value: value as never });
  }
}

it('reads only the newest version after falling behind, until there is no newer one', async () => {
  const calls: string[] = [];
  const seen: number[] = [];
  const objectAt = (revision: number) => ({ name: 'main', revision, spec: {} as never });
  const changes = (...revisions: number[]) => ({
    ok: true as const,
    value: {
      events: revisions.map((revision) => ({ object: objectAt(revision), gone: false })),
      revision: revisions.at(-1) ?? 0,
    },
  });
  const watches = [changes(5), changes(6, 7, 8)];
  const reads = [12, 12];
  const store = {
    list: async () => ({ ok: true as const, value: { items: [objectAt(4)], revision: 4 } }),
    watch: (_kind: string, revision: number) => {
      calls.push(`watch ${revision}`);
      return watches.length > 0 ? Promise.resolve(watches.shift()) : new Promise(() => {});
    },
    get: async () => {
      calls.push('get');
      return { ok: true as const, value: objectAt(reads.shift() as number) };
    },
  } as unknown as ObjectStore;
  const watcher = new CollectionWatcher<never>(
    store,
    'kind',
    {
      onList: () => {},
      onChange: ({ revision }) => seen.push(revision),
      onConnected: () => {},
    },
    { singletonName: 'main', waitMs: 1_000, debounceMs: () => 1 },
  );
  void watcher.run();
  await vi.waitFor(() => expect(calls).toHaveLength(5));
  watcher.stop();
  expect(calls).toEqual(['watch 4', 'watch 5', 'get', 'get', 'watch 12']);
  expect(seen).toEqual([5, 8, 12]);
});

/** Runs a watcher until it has received all prepared responses. */
async function follow(script: ConstructorParameters<typeof ScriptedStore>[0]) {
  const store = new ScriptedStore([...script]);
  const seen: string[] = [];
  const watcher = new CollectionWatcher<unknown>(
    store,
    'kind',
    {
      onList: (objects) => seen.push(`list ${objects.map((object) => object.name).join()}`),
      onChange: (object) => seen.push(`change ${object.name}`),
      onConnected: (connected) => seen.push(connected ? 'connected' : 'lost'),
    },
    { waitMs: 1_000, debounceMs: () => 1 },
    () => 0,
  );
  void watcher.run();
  while (store.calls.length <= script.length) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  watcher.stop();
  return { calls: store.calls, seen };
}

describe('CollectionWatcher', () => {
  it('lists first, then watches from the revision of the list', async () => {
    const { calls, seen } = await follow([
      { revision: 7, names: ['a'] },
      { revision: 9, names: ['b'] },
    ]);
    expect(calls).toEqual(['list', 'watch 7', 'watch 9']);
    expect(seen).toEqual(['connected', 'list a', 'change b']);
  });

  it('lists again if the history is gone', async () => {
    const { calls } = await follow([
      { revision: 7, names: [] },
      'history-gone',
      { revision: 20, names: [] },
    ]);
    expect(calls).toEqual(['list', 'watch 7', 'list', 'watch 20']);
  });

  it('accepts a strong list that is older than a first list from before a restore', async () => {
    const { calls, seen } = await follow([
      { revision: 310, names: ['a'] },
      'history-gone',
      { revision: 260, names: ['b'] },
      { revision: 261, names: ['c'] },
    ]);
    expect(calls).toEqual(['list', 'watch 310', 'list', 'watch 260', 'watch 261']);
    expect(seen).toEqual(['connected', 'list a', 'list b', 'change c']);
  });

  it('continues from the same revision after a failure', async () => {
    const { calls, seen } = await follow([
      { revision: 7, names: [] },
      'unavailable',
      { revision: 8, names: ['a'] },
    ]);
    expect(calls).toEqual(['list', 'watch 7', 'watch 7', 'watch 8']);
    expect(seen).toEqual(['connected', 'list ', 'lost', 'connected', 'change a']);
  });
});

it('counts the duration of a failed call as part of the backoff', async () => {
  vi.useFakeTimers();
  const sentAt: number[] = [];
  const failAfter = (afterMs: number) =>
    new Promise((resolve) => {
      setTimeout(resolve, afterMs, { ok: false, failure: 'unknown', detail: 'silent' });
    });
  const durationsMs = [0, 0, 0, 0, 1_500, 1_500, 400];
  const store = {
    list: () => {
      sentAt.push(performance.now());
      return failAfter(durationsMs[sentAt.length - 1] ?? 60_000);
    },
  } as unknown as ObjectStore;
  const handler = { onList: () => {}, onChange: () => {}, onConnected: () => {} };
  const timing = { waitMs: 1_000, debounceMs: () => 0 };
  const watcher = new CollectionWatcher(store, 'routes', handler, timing, () => 0.5);
  void watcher.run();
  await vi.advanceTimersByTimeAsync(10_000);
  watcher.stop();
  vi.useRealTimers();
  const gaps = sentAt.slice(1).map((at, index) => Math.round(at - (sentAt[index] ?? 0)));
  expect(gaps).toEqual([150, 300, 600, 1_000, 1_650, 1_650, 1_000]);
});

it('pauses between lists if the history is gone after each of them', async () => {
  vi.useFakeTimers();
  let calls = 0;
  const store = {
    list: async () => {
      calls += 1;
      return { ok: true, value: { items: [], revision: 7 } };
    },
    watch: async () => ({ ok: false, failure: 'history-gone', detail: '410' }),
  } as unknown as ObjectStore;
  const handler = { onList: () => {}, onChange: () => {}, onConnected: () => {} };
  const timing = { waitMs: 1_000, debounceMs: () => 0 };
  const watcher = new CollectionWatcher(store, 'routes', handler, timing, () => 0.5);
  void watcher.run();
  await vi.advanceTimersByTimeAsync(3_000);
  watcher.stop();
  vi.useRealTimers();
  // The first list may be stale, so its history may be gone: pauses begin with the second list.
  expect(calls).toBeLessThanOrEqual(22);
});
