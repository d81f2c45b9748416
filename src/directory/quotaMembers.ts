/**
 * The nodes among which quotas are divided into parts. A node whose record is gone stays a member
 * for some time, since it may be cut off and still admit requests. The part of a quota that stays
 * unused meanwhile is small as long as most nodes are up.
 */
import { isDeepStrictEqual } from 'node:util';
import type { Clock } from '../model/clock.js';
import type { QuotaMember } from '../tenants/quotaParts.js';
import type { OwnerDirectory } from './owner-directory.js';

/** Time in milliseconds that a gone node stays a member; a zone is usually cut off for less. */
const DEPARTED_MS = 120_000;

export interface QuotaMembers {
  /** The members, sorted by name; the same array as before if nothing has changed. */
  list(): readonly QuotaMember[];
  /** Removes a node that has marked its departure: it admits no more requests. */
  noteLeft(node: string): void;
}

export function createQuotaMembers(directory: OwnerDirectory, clock: Clock): QuotaMembers {
  const lastSeen = new Map<string, { readonly member: QuotaMember; readonly seenAt: number }>();
  let members: readonly QuotaMember[] = [];
  return {
    list: () => {
      const now = clock.now();
      for (const { record } of directory.all()) {
        lastSeen.set(record.node, {
          member: { node: record.node, zone: record.zone },
          seenAt: now,
        });
      }
      for (const [node, { seenAt }] of lastSeen) {
        if (now - seenAt > DEPARTED_MS) {
          lastSeen.delete(node);
        }
      }
      const names = [...lastSeen.keys()].sort();
      const next = names.flatMap((name) => lastSeen.get(name)?.member ?? []);
      members = isDeepStrictEqual(next, members) ? members : next;
      return members;
    },
    noteLeft: (node) => {
      lastSeen.delete(node);
    },
  };
}
