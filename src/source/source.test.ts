import { describe, expect, it } from 'vitest';
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
  it('never goes back, whichever way an older version comes', () => {
    const holder = new ConfigurationHolder();
    expect(holder.offer(candidateOf(5)).kind).toBe('in-force');
    expect(holder.offer(candidateOf(4)).kind).toBe('not-newer');
    expect(holder.offer(candidateOf(5)).kind).toBe('not-newer');
    expect(holder.version).toBe(5);
    expect(holder.offer(candidateOf(9)).kind).toBe('in-force');
  });

  it('holds off a version that cannot be used whole, says so once, and keeps the last', () => {
    const holder = new ConfigurationHolder();
    holder.offer(candidateOf(5));
    expect(holder.offer(candidateOf(6, 'odd'))).toMatchObject({ kind: 'held-off', version: 6 });
    expect(holder.offer(candidateOf(6, 'odd')).kind).toBe('not-newer');
    expect(holder.version).toBe(5);
    expect(holder.routes?.match('a.example', '/a/1')).toBeDefined();
    expect(holder.offer(candidateOf(7)).kind).toBe('in-force');
  });
});

/** A store that gives prepared answers in turn and then stays silent. */
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

  remove(): Promise<never> {
    throw new Error('not used');
  }

  probe(): Promise<never> {
    throw new Error('not used');
  }

  abandonWatches(): void {}

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

/** Runs a watcher until the script is at its end. */
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
    { waitMs: 1_000, settleMs: () => 1 },
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
  it('lists, then watches from the revision of the list', async () => {
    const { calls, seen } = await follow([
      { revision: 7, names: ['a'] },
      { revision: 9, names: ['b'] },
    ]);
    expect(calls).toEqual(['list', 'watch 7', 'watch 9']);
    expect(seen).toEqual(['connected', 'list a', 'change b']);
  });

  it('lists anew when the history is gone', async () => {
    const { calls } = await follow([
      { revision: 7, names: [] },
      'history-gone',
      { revision: 20, names: [] },
    ]);
    expect(calls).toEqual(['list', 'watch 7', 'list', 'watch 20']);
  });

  it('goes on from the same revision after a failure', async () => {
    const { calls, seen } = await follow([
      { revision: 7, names: [] },
      'unavailable',
      { revision: 8, names: ['a'] },
    ]);
    expect(calls).toEqual(['list', 'watch 7', 'watch 7', 'watch 8']);
    expect(seen).toEqual(['connected', 'list ', 'lost', 'connected', 'change a']);
  });
});
