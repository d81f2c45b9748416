/** Work on header fields as a flat list of names and values, in the order and case of arrival. */

/** Fields that concern one connection only (RFC 9110, section 7.6.1). */
const CONNECTION_FIELDS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'proxy-authenticate',
  'proxy-authorization',
  'expect',
  'content-length',
]);

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
  const named = connection === undefined ? [] : listOf(connection);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const key = name.toLowerCase();
    const dropped =
      CONNECTION_FIELDS.has(key) ||
      without.has(key) ||
      key.startsWith(PEER_PREFIX) ||
      named.includes(key);
    if (!dropped) {
      kept.push(name, rawHeaders[index + 1] as string);
    }
  }
  return kept;
}

function listOf(value: string): string[] {
  return value.split(',').map((item) => item.trim().toLowerCase());
}
