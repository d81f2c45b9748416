/**
 * Logs heartbeats, stored objects, announcements and header fields that cannot be used: they cannot
 * be decoded, or a heartbeat names an unknown service. They can arrive at any rate, so the log has
 * at most one line per kind and interval.
 */
import type { Clock } from '../model/clock.js';
import type { DecisionLog } from './decision-log.js';

/**
 * Shortest time between two lines about one kind, in milliseconds. It is short enough that an
 * operator who looks for a cause finds a line.
 */
const LINE_INTERVAL_MS = 10_000;

/** Number of characters logged of a name or reason; the other writer may choose both. */
const MAX_TEXT_LENGTH = 120;

/** Kind of entry that was expected. */
export enum UnreadableEntryKind {
  Heartbeat = 'heartbeat',
  StoreObject = 'store-object',
  OwnerRecord = 'owner-record',
  /** A record or an announcement of a crash. */
  CrashRecord = 'crash-record',
  /** The header field in which a back end names its rate limit. */
  Limit = 'limit',
  /** The header field in which a back end reports that it is leaving. */
  Leaving = 'leaving',
}

/** Reports an entry by name, with the reason why it cannot be used. */
export type NoteUnreadable = (kind: UnreadableEntryKind, name: string, reason: string) => void;

/**
 * Each log line `unreadable` holds the name and reason of one entry, and the number of entries of
 * its kind since the previous line.
 */
export function createUnreadableLog(clock: Clock, log: Pick<DecisionLog, 'event'>): NoteUnreadable {
  const counts = new Map<UnreadableEntryKind, number>();
  const loggedAt = new Map<UnreadableEntryKind, number>();
  return (kind, name, reason) => {
    const count = (counts.get(kind) ?? 0) + 1;
    counts.set(kind, count);
    const now = clock.now();
    if (now - (loggedAt.get(kind) ?? Number.NEGATIVE_INFINITY) < LINE_INTERVAL_MS) {
      return;
    }
    loggedAt.set(kind, now);
    counts.set(kind, 0);
    log.event('unreadable', { kind, name: truncate(name), reason: truncate(reason), count });
  };
}

function truncate(text: string): string {
  return text.slice(0, MAX_TEXT_LENGTH);
}
