/** How news of crashes travels between nodes: the name of the life, then three lists of requests. */
import type { CrashNews, RequestKey } from './crashLedger.js';

/** Renders news as a list. */
export function listOfNews(news: CrashNews): unknown[] {
  return [
    news.life,
    listOfKeys(news.suspects),
    listOfKeys(news.quarantined),
    listOfKeys(news.cleared),
  ];
}

/** Reads a list; undefined when it is no news. */
export function readNews(value: unknown): CrashNews | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [life, ...lists] = value as unknown[];
  const [suspects, quarantined, cleared] = lists.map(readKeys);
  const isNamed = typeof life === 'string' || life === undefined;
  if (!isNamed || !suspects || !quarantined || !cleared) {
    return undefined;
  }
  return {
    life,
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
