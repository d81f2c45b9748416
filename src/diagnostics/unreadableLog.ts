/**
 * Tells of entries that cannot be used: heartbeats, objects of the store and news that another writer has
 * made. Whoever writes them may do so at any rate, so each kind has one line now and then.
 */
import type { Clock } from '../model/clock.js';
import type { DecisionLog } from './decision-log.js';

/** Pause between two lines about one kind, in milliseconds: an operator who looks for a cause finds it. */
const PAUSE_MS = 10_000;

/** Characters of a name or reason that are logged: both may come from the other writer. */
const LONGEST_TEXT = 120;

/** What an entry that cannot be used was to be. */
export enum UnreadableEntryKind {
  Heartbeat = 'heartbeat',
  StoreObject = 'store-object',
  OwnerRecord = 'owner-record',
  /** A record of a crash, or news of one. */
  CrashRecord = 'crash-record',
}

/** Notes an entry by its name, and why it cannot be used. */
export type NoteUnreadable = (kind: UnreadableEntryKind, name: string, reason: string) => void;

/** The line `unreadable` tells of the entry that caused it, and counts those since the line before. */
export function createUnreadableLog(clock: Clock, log: Pick<DecisionLog, 'event'>): NoteUnreadable {
  const counts = new Map<UnreadableEntryKind, number>();
  const toldAt = new Map<UnreadableEntryKind, number>();
  return (kind, name, reason) => {
    const count = (counts.get(kind) ?? 0) + 1;
    counts.set(kind, count);
    const now = clock.now();
    if (now - (toldAt.get(kind) ?? Number.NEGATIVE_INFINITY) < PAUSE_MS) {
      return;
    }
    toldAt.set(kind, now);
    counts.set(kind, 0);
    log.event('unreadable', { kind, name: cut(name), reason: cut(reason), count });
  };
}

function cut(text: string): string {
  return text.slice(0, LONGEST_TEXT);
}
