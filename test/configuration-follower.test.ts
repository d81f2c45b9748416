/**
 * Guards against a follower that sends the store more requests than it needs, or that misses the
 * apply deadline for a version that the store does not return to it. Other nodes announce such a
 * version and hold it.
 */
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

/** Time within which any further request of the follower would have been sent, in milliseconds. */
const QUIET_MS = APPLY_MS * 2;

let follower: ConfigurationFollower;

afterEach(() => follower.stop());

function candidateOf(version: number): ConfigurationCandidate {
  const candidate = { version, routes: [], services: [] };
  return { version, candidate, bytes: () => Buffer.from(String(version)) };
}

function startFollower(
  view: StoreView,
  askedPeers: string[],
  overrides: Partial<ConfigurationFollowerOptions> = {},
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
    ...overrides,
  });
  follower.start();
  return follower;
}

it('sends the store no further request if its own watch returns a version that another node announced first', async () => {
  const store = new MemoryStore();
  store.put('config', 'main', { version: 1 });
  const view = new StoreView(store);
  const askedPeers: string[] = [];
  const node = startFollower(view, askedPeers);
  await waitFor(() => node.version === 1 && view.calls === 1);
  node.noteVersion('10.0.0.2:1', 2);
  // The other node's watch was faster; this node's own watch returns the version a little later.
  await new Promise((resolve) => setTimeout(resolve, APPLY_MS * 0.2));
  store.put('config', 'main', { version: 2 });
  await waitFor(() => node.version === 2);
  await new Promise((resolve) => setTimeout(resolve, QUIET_MS));
  expect(askedPeers).toEqual([]);
  // The list, and the watch that returned the change. The next watch is still open.
  expect(view.calls).toBe(2);
});

it('may be stale from the announcement of a newer version until that version is in force', async () => {
  const store = new MemoryStore();
  store.put('config', 'main', { version: 1 });
  const node = startFollower(new StoreView(store), []);
  expect(node.mayBeStale).toBe(true);
  await waitFor(() => node.version === 1);
  expect(node.mayBeStale).toBe(false);
  node.noteVersion('10.0.0.2:1', 2);
  expect(node.mayBeStale).toBe(true);
  store.put('config', 'main', { version: 2 });
  await waitFor(() => node.version === 2);
  expect(node.mayBeStale).toBe(false);
});

it('may be stale if nothing has confirmed its version for most of the apply deadline', async () => {
  const store = new MemoryStore();
  store.put('config', 'main', { version: 1 });
  const node = startFollower(new StoreView(store), []);
  await waitFor(() => node.version === 1);
  await new Promise((resolve) => setTimeout(resolve, APPLY_MS * 0.85));
  expect(node.mayBeStale).toBe(true);
});

it('fetches a version from another node within the apply deadline if its watch returns nothing', async () => {
  const store = new MemoryStore();
  store.put('config', 'main', { version: 1 });
  const view = new StoreView(store);
  const askedPeers: string[] = [];
  const node = startFollower(view, askedPeers);
  await waitFor(() => node.version === 1);
  const announcedAt = performance.now();
  node.noteVersion('10.0.0.2:1', 9);
  await waitFor(() => node.version === 9);
  expect(performance.now() - announcedAt).toBeLessThan(APPLY_MS);
  expect(askedPeers).toEqual(['10.0.0.2:1']);
});

it('asks another node at once while the store is unavailable', async () => {
  const view = new StoreView(new MemoryStore());
  view.failure = 'unavailable';
  const askedPeers: string[] = [];
  const node = startFollower(view, askedPeers);
  node.noteVersion('10.0.0.2:1', 9);
  await waitFor(() => node.version === 9);
  expect(askedPeers).toEqual(['10.0.0.2:1']);
});

it('fetches a version from the announcing node within the apply deadline if the store does not answer', async () => {
  const store = new MemoryStore();
  store.put('config', 'main', { version: 1 });
  const view = new StoreView(store);
  const askedPeers: string[] = [];
  const node = startFollower(view, askedPeers);
  await waitFor(() => node.version === 1 && node.isConnected);
  view.list = () => new Promise(() => {});
  view.watch = () => new Promise(() => {});
  const announcedAt = performance.now();
  node.noteVersion('peer', 9);
  await waitFor(() => node.version === 9);
  expect(performance.now() - announcedAt).toBeLessThan(APPLY_MS);
  expect(askedPeers).toEqual(['peer']);
});

it('may be stale while its lists are older than data it has already read, although the store is reachable', async () => {
  const store = new MemoryStore();
  store.put('config', 'main', { version: 1 });
  const view = new StoreView(store);
  const node = startFollower(view, [], { storeReachableAt: () => monotonicClock.now() });
  const oldRevision = store.revision;
  await waitFor(() => node.version === 1 && node.isConnected);
  store.put('config', 'other', {});
  await waitFor(() => view.calls === 2);
  view.listsAsOf = oldRevision;
  store.put('others', 'other', {});
  store.compact();
  await waitFor(() => !node.isConnected);
  await waitFor(() => node.mayBeStale);
});

it.each([
  ['the newest version that other nodes hold', [4, 9, 0], 9, ['node-2']],
  ['the version in the store if no other node holds a newer one', [0, 5], 5, []],
])('starts with %s', async (_name, peerVersions, version, expectedPeers) => {
  const store = new MemoryStore();
  store.put('config', 'main', { version: 5 });
  const askedPeers: string[] = [];
  const appliedVersions: number[] = [];
  const node = startFollower(new StoreView(store), askedPeers, {
    fetchPeerVersions: () =>
      Promise.resolve(
        peerVersions.map((each, index) => ({ address: `node-${index + 1}`, version: each })),
      ),
    onApplied: (routes) => appliedVersions.push(routes.version),
  });
  await waitFor(() => node.version > 0);
  await new Promise((resolve) => setTimeout(resolve, APPLY_MS));
  expect(appliedVersions).toEqual([version]);
  expect(askedPeers).toEqual(expectedPeers);
});
