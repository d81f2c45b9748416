/**
 * Functions on header fields as a flat list of names and values, in the order and case of arrival.
 */

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

/** Prefix of the mesh's internal fields. They never leave the mesh and are ignored from outside. */
const PEER_PREFIX = 'spindlepaddle-peer-';

/**
 * Copies the end-to-end fields, without those in `without` (in lower case) and
 * those that the `connection` field lists. `content-length` is left out too, as
 * each hop frames the body itself.
 */
export function endToEndFields(
  rawHeaders: readonly string[],
  connection: string | undefined,
  without: ReadonlySet<string> = new Set(),
): string[] {
  const connectionFields = listedNames(connection);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const key = name.toLowerCase();
    const isDropped =
      HOP_BY_HOP.has(key) ||
      key === LENGTH_FIELD ||
      without.has(key) ||
      key.startsWith(PEER_PREFIX) ||
      connectionFields.includes(key);
    if (!isDropped) {
      kept.push(name, rawHeaders[index + 1] as string);
    }
  }
  return kept;
}

/** Sets a field and removes all other fields of the same name. */
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
function listedNames(value: string | undefined): string[] {
  return (value ?? '').split(',').map((item) => item.trim().toLowerCase());
}
