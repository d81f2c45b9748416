/** Work on header fields as a flat list of names and values, in the order and case of arrival. */

/** Fields that concern one connection only (RFC 9110, section 7.6.1). */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
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
]);

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

/** Sets a field in place of every one of the same name. */
export function withField(headers: readonly string[], name: string, value: string): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if ((headers[index] as string).toLowerCase() !== name.toLowerCase()) {
      kept.push(headers[index] as string, headers[index + 1] as string);
    }
  }
  return [...kept, name, value];
}

/** The names that a `connection` field lists, in lower case. */
function listOf(value: string | undefined): string[] {
  return (value ?? '').split(',').map((item) => item.trim().toLowerCase());
}
