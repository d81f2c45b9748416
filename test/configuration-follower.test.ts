/** A follower's calls to the store, and its way to a version that the store does not give it. */
import { afterEach, expect, it } from 'vitest';
import { MemoryStore, StoreView } from '../lab/memory-store.js';
import { waitFor } from '../lab/sidecar-mesh.js';
import { monotonicClock } from '../src/model/clock.js';
import { compilePolicy } from '../src/policy/placement-policy.js';
import {
  ConfigurationFollower,
  type ConfigurationFollowerOptions,
} from '../src/source/configuration-follower.js';
import type { ConfigurationCandidate } from '../src/source/configuration-holder.js';
import { createDependencyLoader } from '../src/source/dependencyLoader.js';

const APPLY_MS = 400;

/** Time in which a follower that would ask again has done so, in milliseconds. */
const QUIET_MS = APPLY_MS * 2;

let follower: ConfigurationFollower;

afterEach(() => follower.stop());

function candidateOf(version: number): ConfigurationCandidate {
  const candidate = { version, routes: [], services: [] };
  return { version, candidate, bytes: () => Buffer.from(String(version)) };
}

function follow(
  view: StoreView,
  askedPeers: string[],
  more: Partial<ConfigurationFollowerOptions> = {},
): ConfigurationFollower {
  follower = new ConfigurationFollower({
    clock: monotonicClock,
    storeReachableAt: () => Number.NEGATIVE_INFINITY,
    store: view,
    kind: 'config',
    name: 'main',
    applyDeadlineMs: APPLY_MS,
    debounceMs: () => APPLY_MS * 0.35,
    decode: (spec) => candidateOf((spec as { version: number }).version),
    decodeBytes: (bytes) => candidateOf(Number(bytes.toString())),
    fetchFromPeer: (address) => {
      askedPeers.push(address);
      return Promise.resolve(Buffer.from('9'));
    },
    onConnected: () => {},
    onApplied: () => {},
    onRejected: () => {},
    onDependenciesMissing: () => {},
    onUnreadable: () => {},
    dependencyLoader: createDependencyLoader({
      store: view,
      loadPolicyCompiler: () => Promise.resolve(compilePolicy),
    }),
    ...more,
  });
  follower.start();
  return follower;
}

it('leaves the store alone when its own watch brings what another node has heard first', async () => {
  const store = new MemoryStore();
  store.put('config', 'main', { version: 1 });
  const view = new StoreView(store);
  const asked: string[] = [];
  const node = follow(view, asked);
  await waitFor(() => node.version === 1 && view.calls === 1);
  node.noteVersion('10.0.0.2:1', 2);
  // The other node's watch was quicker: this node's own brings the version a little later.
  await new Promise((resolve) => setTimeout(resolve, APPLY_MS * 0.2));
  store.put('config', 'main', { version: 2 });
  await waitFor(() => node.version === 2);
  await new Promise((resolve) => setTimeout(resolve, QUIET_MS));
  expect(asked).toEqual([]);
  // The list, and the watch that brought the change. The next watch is still waiting.
  expect(view.calls).toBe(2);
});

it('may be behind from the moment at which it hears of a newer version until it holds that', async () => {
  const store = new MemoryStore();
  store.put('config', 'main', { version: 1 });
  const node = follow(new StoreView(store), []);
  expect(node.mayBeStale).toBe(true);
  await waitFor(() => node.version === 1);
  expect(node.mayBeStale).toBe(false);
  node.noteVersion('10.0.0.2:1', 2);
  expect(node.mayBeStale).toBe(true);
  store.put('config', 'main', { version: 2 });
  await waitFor(() => node.version === 2);
  expect(node.mayBeStale).toBe(false);
});

it('may be behind when it has heard nothing for most of the bound', async () => {
  const store = new MemoryStore();
  store.put('config', 'main', { version: 1 });
  const node = follow(new StoreView(store), []);
  await waitFor(() => node.version === 1);
  await new Promise((resolve) => setTimeout(resolve, APPLY_MS * 0.85));
  expect(node.mayBeStale).toBe(true);
});

it('takes a version from another node within the bound when its watch stays silent', async () => {
  const store = new MemoryStore();
  store.put('config', 'main', { version: 1 });
  const view = new StoreView(store);
  const asked: string[] = [];
  const node = follow(view, asked);
  await waitFor(() => node.version === 1);
  const heardAt = performance.now();
  node.noteVersion('10.0.0.2:1', 9);
  await waitFor(() => node.version === 9);
  expect(performance.now() - heardAt).toBeLessThan(APPLY_MS);
  expect(asked).toEqual(['10.0.0.2:1']);
});

it('asks another node at once while the store does not answer', async () => {
  const view = new StoreView(new MemoryStore());
  view.failure = 'unavailable';
  const asked: string[] = [];
  const node = follow(view, asked);
  node.noteVersion('10.0.0.2:1', 9);
  await waitFor(() => node.version === 9);
  expect(asked).toEqual(['10.0.0.2:1']);
});

it('takes a version from the node that holds it in time when the store is silent to this one', async () => {
  const store = new MemoryStore();
  store.put('config', 'main', { version: 1 });
  const view = new StoreView(store);
  const asked: string[] = [];
  const node = follow(view, asked);
  await waitFor(() => node.version === 1 && node.isConnected);
  view.list = () => new Promise(() => {});
  view.watch = () => new Promise(() => {});
  const heardAt = performance.now();
  node.noteVersion('peer', 9);
  await waitFor(() => node.version === 9);
  expect(performance.now() - heardAt).toBeLessThan(APPLY_MS);
  expect(asked).toEqual(['peer']);
});

it('may be behind while the lists that it gets are older than what it has seen, though the store is within reach', async () => {
  const store = new MemoryStore();
  store.put('config', 'main', { version: 1 });
  const view = new StoreView(store);
  const node = follow(view, [], { storeReachableAt: () => monotonicClock.now() });
  const old = store.revision;
  await waitFor(() => node.version === 1 && node.isConnected);
  store.put('config', 'other', {});
  await waitFor(() => view.calls === 2);
  view.listsAsOf = old;
  store.put('others', 'other', {});
  store.compact();
  await waitFor(() => !node.isConnected);
  await waitFor(() => node.mayBeStale);
});

it.each([
  ['the newest of those that others hold', [4, 9, 0], 9, ['node-2']],
  ['what the store lists if none holds a newer one', [0, 5], 5, []],
])('begins with %s', async (_name, held, version, asked) => {
  const store = new MemoryStore();
  store.put('config', 'main', { version: 5 });
  const askedPeers: string[] = [];
  const versions: number[] = [];
  const node = follow(new StoreView(store), askedPeers, {
    fetchPeerVersions: () =>
      Promise.resolve(held.map((each, index) => ({ address: `node-${index + 1}`, version: each }))),
    onApplied: (routes) => versions.push(routes.version),
  });
  await waitFor(() => node.version > 0);
  await new Promise((resolve) => setTimeout(resolve, APPLY_MS));
  expect(versions).toEqual([version]);
  expect(askedPeers).toEqual(asked);
});
