/**
 * The nodes among which quotas are cut into parts. A node whose record is gone counts for a while yet: it may
 * be cut off and go on letting requests through, and what is left out of use of a limit is little as long as
 * most nodes are there.
 */
import { isDeepStrictEqual } from 'node:util';
import type { Clock } from '../model/clock.js';
import type { QuotaMember } from '../tenants/quotaParts.js';
import type { OwnerDirectory } from './owner-directory.js';

/** A node that is gone counts this long, in milliseconds: longer than a zone is cut off for, as a rule. */
const DEPARTED_MS = 120_000;

export interface QuotaMembers {
  /** In the order of their names; the same list as before unless there is a change. */
  list(): readonly QuotaMember[];
  /** The node has left by its own word: it lets nothing through any more, and does not count. */
  noteLeft(node: string): void;
}

export function createQuotaMembers(directory: OwnerDirectory, clock: Clock): QuotaMembers {
  const seen = new Map<string, { readonly member: QuotaMember; readonly at: number }>();
  let members: readonly QuotaMember[] = [];
  return {
    list: () => {
      const now = clock.now();
      for (const { record } of directory.all()) {
        seen.set(record.node, { member: { node: record.node, zone: record.zone }, at: now });
      }
      for (const [node, { at }] of seen) {
        if (now - at > DEPARTED_MS) {
          seen.delete(node);
        }
      }
      const names = [...seen.keys()].sort();
      const next = names.flatMap((name) => seen.get(name)?.member ?? []);
      members = isDeepStrictEqual(next, members) ? members : next;
      return members;
    },
    noteLeft: (node) => {
      seen.delete(node);
    },
  };
}
