/**
 * Encodes announcements of crashes between nodes as lists: the name of the incarnation, then three
 * lists of requests.
 */
import type { CrashAnnouncement, RequestKey } from './crashTracker.js';

/** Encodes an announcement as a list. */
export function encodeCrashAnnouncement(announcement: CrashAnnouncement): unknown[] {
  return [
    announcement.incarnation,
    encodeKeys(announcement.suspects),
    encodeKeys(announcement.quarantined),
    encodeKeys(announcement.cleared),
  ];
}

/** Decodes a list; undefined if it is not a valid announcement. */
export function decodeCrashAnnouncement(value: unknown): CrashAnnouncement | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [incarnation, ...lists] = value as unknown[];
  const [suspects, quarantined, cleared] = lists.map(decodeKeys);
  const isNameValid = typeof incarnation === 'string' || incarnation === undefined;
  if (!isNameValid || !suspects || !quarantined || !cleared) {
    return undefined;
  }
  return {
    incarnation,
    suspects,
    quarantined,
    cleared,
  };
}

function encodeKeys(keys: readonly RequestKey[]): unknown[] {
  return keys.map(({ fingerprint, caller }) => [fingerprint, caller]);
}

function decodeKeys(value: unknown): RequestKey[] | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const keys = value.flatMap((each) => decodeKey(each) ?? []);
  return keys.length === value.length ? keys : undefined;
}

function decodeKey(value: unknown): RequestKey | undefined {
  const [fingerprint, caller] = Array.isArray(value) ? (value as unknown[]) : [];
  return typeof fingerprint === 'string' && typeof caller === 'string'
    ? { fingerprint, caller }
    : undefined;
}
