/**
 * Normalises a request for the placement policies, so that an encoded path cannot bypass a policy
 * (RFC 3986, section 6.2.2). Route matching uses the path as sent, and the back end receives it
 * unchanged.
 */
import type { IncomingMessage } from 'node:http';
import { type Either, Left, Right } from 'purify-ts';
import type { PolicyRequest } from './placement-policy.js';

/** A normalised request, the only form that policies receive. */
export interface NormalizedRequest extends Omit<PolicyRequest, 'tenant'> {
  /** The unchanged query with its question mark; empty if there is none. */
  readonly query: string;
}

/** Characters that need no encoding (RFC 3986, section 2.3). */
const UNRESERVED = /[A-Za-z0-9\-._~]/;

/** Encoded forms of `/`, `\` and NUL, which programs decode to different paths. */
const AMBIGUOUS_ENCODING = /%(2f|5c|00)/i;

const ENCODED_OCTET = /%([0-9A-Fa-f]{2})/g;

/** The fields of a request that normalisation uses. */
export type RequestHead = Pick<IncomingMessage, 'url' | 'method' | 'headers'>;

/** Returns the normalised request, or the reason why it cannot be normalised. */
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

/**
 * Decodes octets that need no encoding and resolves dot segments. Rejects paths that programs
 * interpret differently.
 */
export function normalizePath(rawPath: string): Either<string, string> {
  if (!rawPath.startsWith('/')) {
    return Left('the target is not a path');
  }
  if (/%(?![0-9A-Fa-f]{2})/.test(rawPath)) {
    return Left('the path has an invalid percent encoding');
  }
  if (AMBIGUOUS_ENCODING.test(rawPath) || rawPath.includes('\\')) {
    return Left('the path contains an ambiguous character');
  }
  const decoded = rawPath.replace(ENCODED_OCTET, (octet, digits: string) => {
    const character = String.fromCharCode(Number.parseInt(digits, 16));
    return UNRESERVED.test(character) ? character : octet.toUpperCase();
  });
  return Right(resolveSegments(decoded));
}

/** Removes empty and `.` segments and resolves `..`, which has no effect at the root. */
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

/** Joins the values of repeated headers, so that each header has one string value. */
function flatHeaders(request: RequestHead): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (value !== undefined) {
      flat[name] = Array.isArray(value) ? value.join(', ') : value;
    }
  }
  return flat;
}
