/**
 * Zones of nodes that follow a configuration over thin links, in one process: the product's relays
 * and followers, with their messages as bytes, over modelled links. For tests and experiments.
 */
import { monotonicClock as clock } from '../src/model/clock.js';
import { assignZoneRole, type ZoneNode } from '../src/relay/zoneReaders.js';
import { createZoneRelay, type ZoneRelay } from '../src/relay/zoneRelay.js';
import { ConfigurationFollower } from '../src/source/configuration-follower.js';
import type { ObjectStore, StoreResult } from '../src/source/object-store.js';
import { CONFIGURATION_KIND, CONFIGURATION_NAME, labOutside } from './labOutside.js';
import { MemoryStore, StoreView } from './memory-store.js';
import { createThinLink, type ThinLink } from './thinLink.js';

/** One node and its link. */
export interface FleetNode {
  readonly node: ZoneNode;
  readonly follower: ConfigurationFollower;
  readonly relay: ZoneRelay;
  readonly view: StoreView;
  readonly incoming: ThinLink;
  readonly outgoing: ThinLink;
}

export interface RelayFleet {
  readonly store: MemoryStore;
  readonly nodes: readonly FleetNode[];
  /** Writes a version with so many routes, of which a few differ from the version before. */
  write(version: number, routes: number): void;
  close(): void;
}

/** Milliseconds from a version's write until it must be in force. */
export const FLEET_APPLY_MS = 2_500;

/** Routes that differ from one version to the next. */
const CHANGED_ROUTES = 5;

/** `links` has the megabits a second of each node's link; all nodes are of one zone. */
export function startRelayFleet(links: readonly number[]): RelayFleet {
  const store = new MemoryStore();
  const members = links.map(
    (linkMbps, index): ZoneNode => ({
      node: `node-${index}`,
      zone: 'a',
      address: `10.0.0.${index}:1`,
      linkMbps,
    }),
  );
  const nodes = new Map<string, FleetNode>();
  for (const member of members) {
    nodes.set(member.address, createNode(member, members, store, nodes));
  }
  const all = [...nodes.values()];
  return {
    store,
    nodes: all,
    write: (version, routes) => {
      store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, configurationOf(version, routes));
      for (const { follower } of version === 1 ? all : []) {
        follower.start();
      }
    },
    close: () => {
      for (const { follower, relay, view } of all) {
        follower.stop();
        relay.stop();
        view.close();
      }
    },
  };
}

function createNode(
  node: ZoneNode,
  members: readonly ZoneNode[],
  store: MemoryStore,
  nodes: ReadonlyMap<string, FleetNode>,
): FleetNode {
  const incoming = createThinLink(clock, node.linkMbps as number);
  const outgoing = createThinLink(clock, node.linkMbps as number);
  const view = new StoreView(store);
  const relay = createZoneRelay({
    clock,
    store: overLink(view, incoming),
    ownRecord: { kind: 'nodes', name: node.node },
    configurationKind: CONFIGURATION_KIND,
    applyMs: FLEET_APPLY_MS,
    zoneAssignment: () => assignZoneRole(node, members),
    readPeer: async (address, question) => {
      const other = nodes.get(address) as FleetNode;
      const bytes = await other.relay.answer(question);
      await other.outgoing.carry(bytes.length);
      await incoming.carry(bytes.length);
      return bytes;
    },
    onReaderChange: () => {},
    onReachabilityChange: () => {},
    onEraChange: () => {},
    onMissedChanges: () => {},
  });
  const follower = new ConfigurationFollower({
    clock,
    storeReachableAt: () => relay.store.answeredAt,
    store: relay.store,
    kind: CONFIGURATION_KIND,
    name: CONFIGURATION_NAME,
    applyDeadlineMs: FLEET_APPLY_MS,
    debounceMs: () => relay.debounceMs(),
    decode: labOutside(view).decodeConfiguration,
    decodeBytes: () => undefined,
    fetchFromPeer: async () => undefined,
    onConnected: () => {},
    onApplied: () => {},
    onRejected: () => {},
    onDependenciesMissing: () => {},
    onUnreadable: () => {},
    dependencyLoader: {
      dependencies: { compilePolicy: undefined, secrets: new Map() },
      load: async () => {},
    },
  });
  return { node, follower, relay, view, incoming, outgoing };
}

/** What the store answers comes in over a link. */
function overLink(view: StoreView, link: ThinLink): ObjectStore {
  const arrived = async <Value>(call: Promise<StoreResult<Value>>): Promise<StoreResult<Value>> => {
    const result = await call;
    const text = JSON.stringify(result);
    await link.carry(text.length);
    return JSON.parse(text) as StoreResult<Value>;
  };
  return {
    list: (kind, reading) => arrived(view.list(kind, reading)),
    get: (kind, name) => arrived(view.get(kind, name)),
    watch: (kind, revision, waitMs, signal) => arrived(view.watch(kind, revision, waitMs, signal)),
    create: (kind, name, spec) => view.create(kind, name, spec),
    replace: (kind, object) => view.replace(kind, object),
    replaceStatus: (kind, object, status) => view.replaceStatus(kind, object, status),
    remove: (kind, name, revision) => view.remove(kind, name, revision),
    probe: () => view.probe(),
    closeIdle: () => view.closeIdle(),
    close: () => view.close(),
  };
}

function configurationOf(version: number, routes: number) {
  return {
    version,
    routes: Array.from({ length: routes }, (_, index) => ({
      name: `route-${index}`,
      host: `host-${index % 40}.example`,
      pathPrefix: `/path-${index}/`,
      kind: 'safe',
      timeoutMs: index < CHANGED_ROUTES ? 1_000 + version : 1_000,
      split: [{ service: 'desk', weight: 1 }],
    })),
    services: [{ name: 'desk' }],
  };
}
