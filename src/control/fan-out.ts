/**
 * Fan-out within a zone: two levels of groups. Whoever learns a record from
 * outside the zone pushes it to the leader of each group, and the leader to its
 * members. In-force reports travel the same way back. Rendezvous hashing keeps
 * the groups in place when members come and go; views that differ for a moment
 * cost a repair by anti-entropy, never correctness.
 */
import { hash32, rankNames } from '../model/rendezvous.js';

/** Who does what in a zone, computed from one view of its members. */
export interface FanOutPlan {
  readonly groups: number;
  /** Leaders by group; a group without members has none. */
  readonly leaders: ReadonlyMap<number, string>;
  /** Members by group, leaders included. */
  readonly members: ReadonlyMap<number, readonly string[]>;
  /** Members by rank: the first is the coordinator, the next stand in for it. */
  readonly ranked: readonly string[];
}

/** Number of groups: the power of two nearest to the square root of the size. */
export function groupCount(size: number): number {
  return 2 ** Math.round(Math.log2(Math.sqrt(Math.max(size, 1))));
}

/** The group of a member. */
export function groupOf(name: string, groups: number): number {
  return hash32(`group/${name}`) % groups;
}

/** Plans the fan-out among the live members of a zone. */
export function planFanOut(names: readonly string[]): FanOutPlan {
  const groups = groupCount(names.length);
  const ranked = rankNames('coordinator', names);
  const members = new Map<number, string[]>();
  const leaders = new Map<number, string>();
  for (const name of ranked) {
    const group = groupOf(name, groups);
    const inGroup = members.get(group) ?? [];
    inGroup.push(name);
    members.set(group, inGroup);
    if (!leaders.has(group)) {
      leaders.set(group, name);
    }
  }
  return { groups, leaders, members, ranked };
}
