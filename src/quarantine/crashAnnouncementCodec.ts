/** How news of crashes travels between nodes: the name of the life, then three lists of requests. */
import type { CrashAnnouncement, RequestKey } from './crashTracker.js';

/** Renders news as a list. */
export function encodeCrashAnnouncement(news: CrashAnnouncement): unknown[] {
  return [
    news.incarnation,
    listOfKeys(news.suspects),
    listOfKeys(news.quarantined),
    listOfKeys(news.cleared),
  ];
}

/** Reads a list; undefined when it is no news. */
export function decodeCrashAnnouncement(value: unknown): CrashAnnouncement | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [incarnation, ...lists] = value as unknown[];
  const [suspects, quarantined, cleared] = lists.map(readKeys);
  const isNamed = typeof incarnation === 'string' || incarnation === undefined;
  if (!isNamed || !suspects || !quarantined || !cleared) {
    return undefined;
  }
  return {
    incarnation,
    suspects,
    quarantined,
    cleared,
  };
}

function listOfKeys(keys: readonly RequestKey[]): unknown[] {
  return keys.map(({ fingerprint, caller }) => [fingerprint, caller]);
}

function readKeys(value: unknown): RequestKey[] | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const keys = value.flatMap((each) => readKey(each) ?? []);
  return keys.length === value.length ? keys : undefined;
}

function readKey(value: unknown): RequestKey | undefined {
  const [fingerprint, caller] = Array.isArray(value) ? (value as unknown[]) : [];
  return typeof fingerprint === 'string' && typeof caller === 'string'
    ? { fingerprint, caller }
    : undefined;
}
