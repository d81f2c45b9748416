/**
 * Normalises a request once, before matching, so that an encoded path cannot
 * slip past a route or a placement policy (RFC 3986, section 6.2.2). The back
 * end receives the normalised path: both sides read the same one.
 */
import type { IncomingMessage } from 'node:http';
import { type Either, Left, Right } from 'purify-ts';
import type { PolicyRequest } from './placement-policy.js';

/** A request in the only form that matching and policies see. */
export interface NormalizedRequest extends Omit<PolicyRequest, 'tenant'> {
  /** Query with its question mark, unchanged; empty when there is none. */
  readonly query: string;
}

/** Characters that need no encoding (RFC 3986, section 2.3). */
const UNRESERVED = /[A-Za-z0-9\-._~]/;

/** Encoded forms of `/`, `\` and NUL: different readers take them for different paths. */
const AMBIGUOUS_ENCODING = /%(2f|5c|00)/i;

const ENCODED_OCTET = /%([0-9A-Fa-f]{2})/g;

/** What is read of a request. */
export type RequestHead = Pick<IncomingMessage, 'url' | 'method' | 'headers'>;

/** Returns the normal form, or the reason why the request has none. */
export function normalizeRequest(request: RequestHead): Either<string, NormalizedRequest> {
  const target = request.url ?? '';
  const split = target.indexOf('?');
  const rawPath = split < 0 ? target : target.slice(0, split);
  const query = split < 0 ? '' : target.slice(split);
  return normalizePath(rawPath).map((path) => ({
    method: request.method ?? 'GET',
    path,
    query,
    headers: flatHeaders(request),
  }));
}

/** Decodes what needs no encoding and resolves dot segments; refuses what readers disagree on. */
export function normalizePath(rawPath: string): Either<string, string> {
  if (!rawPath.startsWith('/')) {
    return Left('the target is not a path');
  }
  if (/%(?![0-9A-Fa-f]{2})/.test(rawPath)) {
    return Left('the path has an incomplete percent encoding');
  }
  if (AMBIGUOUS_ENCODING.test(rawPath) || rawPath.includes('\\')) {
    return Left('the path has an ambiguous separator');
  }
  const decoded = rawPath.replace(ENCODED_OCTET, (octet, digits: string) => {
    const character = String.fromCharCode(Number.parseInt(digits, 16));
    return UNRESERVED.test(character) ? character : octet.toUpperCase();
  });
  return Right(resolveSegments(decoded));
}

/** Removes empty and `.` segments and resolves `..` without leaving the root. */
function resolveSegments(path: string): string {
  const kept: string[] = [];
  const segments = path.split('/').slice(1);
  for (const segment of segments) {
    if (segment === '..') {
      kept.pop();
    } else if (segment !== '.' && segment !== '') {
      kept.push(segment);
    }
  }
  const last = segments.at(-1);
  const endsWithSlash = kept.length > 0 && (last === '' || last === '.' || last === '..');
  return `/${kept.join('/')}${endsWithSlash ? '/' : ''}`;
}

function flatHeaders(request: RequestHead): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (value !== undefined) {
      flat[name] = Array.isArray(value) ? value.join(', ') : value;
    }
  }
  return flat;
}
