/**
 * Which nodes of a zone read the store for the others: those whose links carry most, since a reader
 * takes each version in whole and gives it to many. All nodes rank their zone's nodes by link and,
 * among links that are about alike, by rendezvous hashing, so they agree without asking one another;
 * where two views differ for a while, a node that is asked reads, whatever its own rank.
 */
import { rankNames } from '../model/rendezvous.js';

/** Smallest zone in which a node reads for others. */
const SMALLEST_ZONE = 2;

/** Nodes for each reader: a change goes to so many over the reader's own link, one after the other. */
const NODES_PER_READER = 16;

/** Readers beyond those that are needed, to turn to when one fails. */
const SPARE_READERS = 1;

/** A node that may read for others. */
export interface ZoneNode {
  readonly node: string;
  readonly zone: string;
  /** `host:port` for other nodes. */
  readonly address: string;
  /** Megabits a second that its link carries, as far as its settings tell. */
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
  /** Readers to ask, the preferred one first; none for other roles than follower. */
  readonly readers: readonly ZoneNode[];
  /** The first reader of each other zone, for a node that the store turns away; rarely needed. */
  readonly otherZoneReaders: () => readonly ZoneNode[];
}

/** `nodes` are all known nodes that are not known to be away, `own` among them. */
export function assignZoneRole(own: ZoneNode, nodes: readonly ZoneNode[]): ZoneAssignment {
  const zone = nodes.filter((node) => node.zone === own.zone);
  const otherZoneReaders = () => readersElsewhere(own, nodes);
  if (zone.length < SMALLEST_ZONE) {
    return { role: ZoneRole.Alone, readers: [], otherZoneReaders };
  }
  const ranked = ranking(zone);
  const count = Math.ceil(zone.length / NODES_PER_READER);
  const readers = ranked.slice(0, count);
  if (readers.some(({ node }) => node === own.node)) {
    return { role: ZoneRole.Reader, readers: [], otherZoneReaders };
  }
  // Each follower prefers another one of the readers, so that they share the work.
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

/** Nodes by rank; all nodes agree on that for the role of a reader. */
function ranking(nodes: readonly ZoneNode[], role = 'reader'): ZoneNode[] {
  const byName = new Map(nodes.map((node) => [node.node, node]));
  const ranked = rankNames(role, [...byName.keys()]).flatMap((name) => byName.get(name) ?? []);
  return ranked.sort((left, right) => linkClass(right) - linkClass(left));
}

/** Links within the same power of four count as alike; an unknown one comes last. */
function linkClass({ linkMbps }: ZoneNode): number {
  return linkMbps === undefined ? Number.NEGATIVE_INFINITY : Math.floor(Math.log2(linkMbps) / 2);
}
