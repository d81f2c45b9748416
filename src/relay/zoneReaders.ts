/**
 * Which nodes of a zone read the store for the others. All nodes rank their zone's nodes by
 * rendezvous hashing, so they agree without asking one another; where two views differ for a while,
 * a node that is asked reads, whatever its own rank.
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
  /** `host:port` for other nodes. */
  readonly address: string;
}

/** A node's part in its zone. */
export enum ZoneRole {
  /** The only node of its zone. */
  Alone = 'alone',
  Reader = 'reader',
  Follower = 'follower',
}

export interface ZonePart {
  readonly role: ZoneRole;
  /** Readers to ask, the preferred one first; none for other roles than follower. */
  readonly readers: readonly ZoneNode[];
}

/** `nodes` are all known nodes of the zone that are not known to be away, `own` among them. */
export function zonePartOf(own: string, nodes: readonly ZoneNode[]): ZonePart {
  if (nodes.length < SMALLEST_ZONE) {
    return { role: ZoneRole.Alone, readers: [] };
  }
  const names = nodes.map(({ node }) => node);
  const ranked = rankNames('reader', names);
  const count = Math.ceil(nodes.length / NODES_PER_READER);
  const readers = ranked.slice(0, count);
  if (readers.includes(own)) {
    return { role: ZoneRole.Reader, readers: [] };
  }
  // Each follower prefers another one of the readers, so that they share the work.
  const order = [...rankNames(own, readers), ...ranked.slice(count, count + SPARE_READERS)];
  const byName = new Map(nodes.map((node) => [node.node, node]));
  return {
    role: ZoneRole.Follower,
    readers: order.filter((name) => name !== own).flatMap((name) => byName.get(name) ?? []),
  };
}
