/** Work on header fields as a flat list of names and values, in the order and case of arrival. */
import { HOP_BY_HOP, listOf } from '../proxy/headers.js';

/** Each hop frames the body itself. */
const LENGTH_FIELD = 'content-length';

/** Fields of the mesh itself never leave it and are not believed from outside. */
const PEER_PREFIX = 'spindlepaddle-peer-';

/**
 * Copies the fields that travel end to end. `content-length` is left out too:
 * each hop frames the body itself.
 */
export function endToEndFields(
  rawHeaders: readonly string[],
  connection: string | undefined,
  without: ReadonlySet<string> = new Set(),
): string[] {
  const named = listOf(connection);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const key = name.toLowerCase();
    const dropped =
      HOP_BY_HOP.has(key) ||
      key === LENGTH_FIELD ||
      without.has(key) ||
      key.startsWith(PEER_PREFIX) ||
      named.includes(key);
    if (!dropped) {
      kept.push(name, rawHeaders[index + 1] as string);
    }
  }
  return kept;
}
