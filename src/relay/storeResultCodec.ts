/**
 * Encodes a reader's answer to its followers as CBOR, deflated if it is large. If the follower
 * holds an earlier version of an object, only the difference from that version is sent.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { decodeValue, encodeValue } from '../codec/frame.js';
import type { StoreChanges, StoredObject, StoreResult } from '../source/object-store.js';
import { applyDifference, differenceOf } from './difference.js';

/**
 * Answers above this size, in bytes, are deflated: a large configuration is sent to every follower
 * over the reader's own link, and its routes resemble one another, so they compress well.
 */
const DEFLATE_FROM_BYTES = 1_024;

/** The fastest level: deflating a configuration of 350 KB takes about 4 ms. */
const DEFLATE_LEVEL = 1;

/** Largest answer after inflation, in bytes. */
const MAX_INFLATED_BYTES = 32 * 1024 * 1024;

enum Compression {
  None = 0,
  Deflate = 1,
}

type Changes = StoreChanges<unknown>;
type Event = Changes['events'][number];

/**
 * `base` is the revision of the version from which `content` is the difference. Undefined if
 * `content` is the whole object.
 */
type WireEvent = readonly [
  name: string,
  revision: number,
  content: unknown,
  gone: boolean,
  base: number | undefined,
  /** `status` and `made` are both left out for an object without a status. */
  status?: unknown,
  made?: number,
];

/** Finds an object by its revision. */
export type ObjectAt = (revision: number) => StoredObject<unknown> | undefined;

/** Encodes an answer. `base` is a version of the object that the receiver holds. */
export function encodeStoreResult(
  result: StoreResult<Changes>,
  base?: StoredObject<unknown>,
): Buffer {
  const content = result.ok
    ? [result.value.revision, result.value.events.map((event) => wireEventOf(event, base))]
    : [result.failure];
  const plain = encodeValue(content);
  const isLarge = plain.length > DEFLATE_FROM_BYTES;
  const compression = isLarge ? Compression.Deflate : Compression.None;
  const bytes = isLarge ? deflateRawSync(plain, { level: DEFLATE_LEVEL }) : plain;
  return Buffer.concat([Buffer.from([compression]), bytes]);
}

/**
 * Decodes an answer. Undefined if the bytes are not a valid answer, or if they contain a difference
 * from a version that `objectAt` does not find.
 */
export function decodeStoreResult(
  bytes: Buffer,
  objectAt: ObjectAt = () => undefined,
): StoreResult<Changes> | undefined {
  const content = decodeValue(decompress(bytes));
  if (!Array.isArray(content)) {
    return undefined;
  }
  const [first, events] = content as unknown[];
  if (first === 'unavailable' || first === 'history-gone') {
    return { ok: false, failure: first, detail: 'zone reader' };
  }
  if (typeof first !== 'number' || !Array.isArray(events) || !events.every(isWireEvent)) {
    return undefined;
  }
  const decoded = events.map((event) => eventOf(event, objectAt));
  return decoded.every((event) => event !== undefined)
    ? { ok: true, value: { events: decoded, revision: first } }
    : undefined;
}

function wireEventOf({ object, gone }: Event, base: StoredObject<unknown> | undefined): WireEvent {
  const { name, revision, spec, status, made } = object;
  const statusFields = made === undefined ? ([] as const) : ([status, made] as const);
  if (base?.name !== name || gone) {
    return [name, revision, spec, gone, undefined, ...statusFields];
  }
  const { part, digest } = differenceOf(base.spec, spec);
  return [name, revision, [part, digest], gone, base.revision, ...statusFields];
}

function eventOf(
  [name, revision, content, gone, base, status, made]: WireEvent,
  objectAt: ObjectAt,
): Event | undefined {
  const spec = typeof base === 'number' ? patchedSpec(objectAt(base), content) : content;
  if (spec === undefined) {
    return undefined;
  }
  const statusFields = typeof made === 'number' ? { status, made } : {};
  return { object: { name, revision, spec, ...statusFields }, gone };
}

function patchedSpec(base: StoredObject<unknown> | undefined, content: unknown): unknown {
  const [part, digest] = Array.isArray(content) ? content : [];
  return base && Buffer.isBuffer(digest) ? applyDifference(base.spec, { part, digest }) : undefined;
}

function isWireEvent(value: unknown): value is WireEvent {
  const [name, revision, , gone] = Array.isArray(value) ? value : [];
  return typeof name === 'string' && typeof revision === 'number' && typeof gone === 'boolean';
}

function decompress(bytes: Buffer): Buffer {
  const content = bytes.subarray(1);
  if (bytes[0] !== Compression.Deflate) {
    return content;
  }
  try {
    return inflateRawSync(content, { maxOutputLength: MAX_INFLATED_BYTES });
  } catch {
    // An empty buffer does not decode to an answer, so the caller treats the reader as silent.
    return Buffer.alloc(0);
  }
}
