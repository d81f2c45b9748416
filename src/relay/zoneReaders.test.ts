import { describe, expect, it } from 'vitest';
import { assignZoneRole, type ZoneNode, ZoneRole } from './zoneReaders.js';

function zoneOf(size: number): ZoneNode[] {
  return Array.from({ length: size }, (_, index) => ({
    node: `node-${index}`,
    zone: 'a',
    address: `10.0.0.${index}:1`,
  }));
}

function readersOf(nodes: readonly ZoneNode[]): string[] {
  return nodes
    .filter((each) => assignZoneRole(each, nodes).role === ZoneRole.Reader)
    .map(({ node }) => node);
}

describe('assignZoneRole', () => {
  it('assigns no reader in a zone of one node', () => {
    const nodes = zoneOf(1);
    expect(assignZoneRole(nodes[0] as ZoneNode, nodes)).toMatchObject({
      role: ZoneRole.Alone,
      readers: [],
    });
  });

  it('assigns one reader for every 16 nodes, and each follower asks a reader first', () => {
    for (const [size, count] of [
      [2, 1],
      [3, 1],
      [16, 1],
      [28, 2],
      [200, 13],
    ] as const) {
      const nodes = zoneOf(size);
      const readers = readersOf(nodes);
      expect(readers).toHaveLength(count);
      const first = nodes
        .map((each) => assignZoneRole(each, nodes).readers[0]?.node)
        .filter((node) => node !== undefined);
      expect(first).toHaveLength(size - count);
      expect(readers).toEqual(expect.arrayContaining(first));
    }
  });

  it('keeps the other reader and gives followers a spare one when a reader is lost', () => {
    const nodes = zoneOf(28);
    const [lost, kept] = readersOf(nodes) as [string, string];
    const remaining = nodes.filter(({ node }) => node !== lost);
    expect(readersOf(remaining)).toContain(kept);
    for (const each of remaining) {
      const { role, readers } = assignZoneRole(each, remaining);
      const isReader = readersOf(remaining).includes(each.node);
      expect(role).toBe(isReader ? ZoneRole.Reader : ZoneRole.Follower);
      // The list holds both readers and a spare one, but never the follower itself.
      expect(readers.length).toBeGreaterThanOrEqual(isReader ? 0 : 2);
      expect(readers.map(({ node }) => node)).not.toContain(each.node);
    }
  });

  it('selects the nodes with the fastest links, and the next ones when these are gone', () => {
    const fastNodes = ['node-3', 'node-17'];
    const nodes = zoneOf(21).map((each) => ({
      ...each,
      linkMbps: fastNodes.includes(each.node) ? 70 : 3.5,
    }));
    expect(readersOf(nodes).sort()).toEqual(['node-17', 'node-3']);
    const follower = assignZoneRole(nodes[0] as ZoneNode, nodes);
    expect(
      follower.readers
        .slice(0, 2)
        .map(({ node }) => node)
        .sort(),
    ).toEqual(fastNodes.sort());
    const remaining = nodes.filter(({ node }) => !fastNodes.includes(node));
    expect(readersOf(remaining)).toHaveLength(2);
  });

  it('selects by hash alone among links of similar or of unknown speed', () => {
    const similar = zoneOf(21).map((each, index) => ({
      ...each,
      linkMbps: index % 2 ? 900 : 1_000,
    }));
    expect(readersOf(similar)).toEqual(readersOf(zoneOf(21)));
  });

  it('returns one reader of each other zone', () => {
    const nodes = ['a', 'b', 'c'].flatMap((zone) =>
      zoneOf(6).map((node) => ({ ...node, zone, node: `${zone}-${node.node}` })),
    );
    const otherReaders = assignZoneRole(nodes[0] as ZoneNode, nodes).otherZoneReaders();
    expect(otherReaders.map(({ zone }) => zone).sort()).toEqual(['b', 'c']);
    expect(readersOf(nodes)).toEqual(expect.arrayContaining(otherReaders.map(({ node }) => node)));
  });
});
