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

describe('readers of a zone', () => {
  it('are none where a node is alone', () => {
    const nodes = zoneOf(1);
    expect(assignZoneRole(nodes[0] as ZoneNode, nodes)).toMatchObject({
      role: ZoneRole.Alone,
      readers: [],
    });
  });

  it('grow with the zone, far slower than its nodes, and are whom the others ask first', () => {
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

  it('have one to turn to when one is gone, and the rest of the zone keeps its own', () => {
    const nodes = zoneOf(28);
    const [lost, kept] = readersOf(nodes) as [string, string];
    const left = nodes.filter(({ node }) => node !== lost);
    expect(readersOf(left)).toContain(kept);
    for (const each of left) {
      const { role, readers } = assignZoneRole(each, left);
      const isReader = readersOf(left).includes(each.node);
      expect(role).toBe(isReader ? ZoneRole.Reader : ZoneRole.Follower);
      // Both readers and a spare one, which does not ask itself.
      expect(readers.length).toBeGreaterThanOrEqual(isReader ? 0 : 2);
      expect(readers.map(({ node }) => node)).not.toContain(each.node);
    }
  });

  it('are the nodes whose links carry most, and the next ones when they are gone', () => {
    const wide = ['node-3', 'node-17'];
    const nodes = zoneOf(21).map((each) => ({
      ...each,
      linkMbps: wide.includes(each.node) ? 70 : 3.5,
    }));
    expect(readersOf(nodes).sort()).toEqual(['node-17', 'node-3']);
    const follower = assignZoneRole(nodes[0] as ZoneNode, nodes);
    expect(
      follower.readers
        .slice(0, 2)
        .map(({ node }) => node)
        .sort(),
    ).toEqual(wide.sort());
    const left = nodes.filter(({ node }) => !wide.includes(node));
    expect(readersOf(left)).toHaveLength(2);
  });

  it('are chosen by hash alone among links that are about alike, and of unknown links', () => {
    const alike = zoneOf(21).map((each, index) => ({ ...each, linkMbps: index % 2 ? 900 : 1_000 }));
    expect(readersOf(alike)).toEqual(readersOf(zoneOf(21)));
  });

  it('of other zones are one each, for a node that the store turns away', () => {
    const nodes = ['a', 'b', 'c'].flatMap((zone) =>
      zoneOf(6).map((node) => ({ ...node, zone, node: `${zone}-${node.node}` })),
    );
    const elsewhere = assignZoneRole(nodes[0] as ZoneNode, nodes).otherZoneReaders();
    expect(elsewhere.map(({ zone }) => zone).sort()).toEqual(['b', 'c']);
    expect(readersOf(nodes)).toEqual(expect.arrayContaining(elsewhere.map(({ node }) => node)));
  });
});
