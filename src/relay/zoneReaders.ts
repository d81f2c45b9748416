/**
 * Selects the nodes of a zone that read the store for the others: the nodes with the fastest links,
 * since a reader receives each version whole and sends it to many nodes. Every node ranks the nodes
 * of its zone by link speed and, among links of similar speed, by rendezvous hashing, so that all
 * nodes agree without messages. While the views of two nodes differ, a node that receives a query
 * reads the store for the sender, whatever its own rank.
 */
import { rankNames } from '../model/rendezvous.js';

/** Smallest number of nodes in a zone that has a reader. */
const MIN_ZONE_SIZE = 2;

/** Nodes for each reader: the reader sends a change to all of them in turn over its own link. */
const NODES_PER_READER = 16;

/** Additional nodes in the list of readers, to ask when a reader fails. */
const SPARE_READERS = 1;

/** A node that may read for others. */
export interface ZoneNode {
  readonly node: string;
  readonly zone: string;
  /** `host:port` for other nodes. */
  readonly address: string;
  /** Speed of its link in megabits a second. Undefined if its settings do not give it. */
  readonly linkMbps?: number;
}

/** A node's part in its zone. */
export enum ZoneRole {
  /** The only node of its zone. */
  Alone = 'alone',
  Reader = 'reader',
  Follower = 'follower',
}

export interface ZoneAssignment {
  readonly role: ZoneRole;
  /**
   * Nodes to ask, in order of preference: the readers, then at most one spare node. Empty unless
   * the role is follower.
   */
  readonly readers: readonly ZoneNode[];
  /**
   * Returns the first reader of each other zone, for a node that the store does not answer.
   * Computed on demand, since it is rarely needed.
   */
  readonly otherZoneReaders: () => readonly ZoneNode[];
}

/**
 * Assigns this node's role. `nodes` are all nodes of the directory except those known to be away;
 * they include `own`.
 */
export function assignZoneRole(own: ZoneNode, nodes: readonly ZoneNode[]): ZoneAssignment {
  const zone = nodes.filter((node) => node.zone === own.zone);
  const otherZoneReaders = () => readersElsewhere(own, nodes);
  if (zone.length < MIN_ZONE_SIZE) {
    return { role: ZoneRole.Alone, readers: [], otherZoneReaders };
  }
  const ranked = ranking(zone);
  const count = Math.ceil(zone.length / NODES_PER_READER);
  const readers = ranked.slice(0, count);
  if (readers.some(({ node }) => node === own.node)) {
    return { role: ZoneRole.Reader, readers: [], otherZoneReaders };
  }
  // The order of the readers differs between followers, so that the readers share the work.
  const order = [...ranking(readers, own.node), ...ranked.slice(count, count + SPARE_READERS)];
  const others = order.filter(({ node }) => node !== own.node);
  return { role: ZoneRole.Follower, readers: others, otherZoneReaders };
}

function readersElsewhere(own: ZoneNode, nodes: readonly ZoneNode[]): ZoneNode[] {
  const zones = new Set(nodes.map(({ zone }) => zone));
  zones.delete(own.zone);
  const first = [...zones].flatMap((zone) =>
    ranking(nodes.filter((node) => node.zone === zone)).slice(0, 1),
  );
  return ranking(first, own.node);
}

/**
 * Ranks nodes by link and by a hash of `role` and name: all nodes get the same order for a role.
 */
function ranking(nodes: readonly ZoneNode[], role = 'reader'): ZoneNode[] {
  const byName = new Map(nodes.map((node) => [node.node, node]));
  const ranked = rankNames(role, [...byName.keys()]).flatMap((name) => byName.get(name) ?? []);
  return ranked.sort((left, right) => linkClass(right) - linkClass(left));
}

/** Links within the same power of four are in one class. An unknown link is in the last class. */
function linkClass({ linkMbps }: ZoneNode): number {
  return linkMbps === undefined ? Number.NEGATIVE_INFINITY : Math.floor(Math.log2(linkMbps) / 2);
}
