/**
 * How a reader's answer travels to its followers: CBOR, deflated where that is worth it. An object of
 * which the asker holds an earlier version travels as the difference from that.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { decodeValue, encodeValue } from '../codec/frame.js';
import type { StoreChanges, StoredObject, StoreResult } from '../source/object-store.js';
import { applyDifference, differenceOf } from './difference.js';

/**
 * Answers above this size, in bytes, are deflated: a large configuration goes to every follower
 * over the reader's own link, and its routes are much alike.
 */
const DEFLATE_FROM_BYTES = 1_024;

/** Fast: a configuration of 350 KB takes some 4 ms at this level. */
const DEFLATE_LEVEL = 1;

/** Largest answer that is inflated, in bytes. */
const MAX_INFLATED_BYTES = 32 * 1024 * 1024;

enum Packing {
  Plain = 0,
  Deflated = 1,
}

type Changes = StoreChanges<unknown>;
type Event = Changes['events'][number];

/** `base` is the revision from which `content` tells the difference, or undefined for a whole. */
type WireEvent = readonly [
  name: string,
  revision: number,
  content: unknown,
  gone: boolean,
  base: number | undefined,
  /** Both left out for an object without a status. */
  status?: unknown,
  made?: number,
];

/** Finds an object by its revision. */
export type ObjectAt = (revision: number) => StoredObject<unknown> | undefined;

/** Renders an answer; `base` is an object that its receiver holds. */
export function encodeStoreResult(
  result: StoreResult<Changes>,
  base?: StoredObject<unknown>,
): Buffer {
  const content = result.ok
    ? [result.value.revision, result.value.events.map((event) => wireEventOf(event, base))]
    : [result.failure];
  const plain = encodeValue(content);
  const isLarge = plain.length > DEFLATE_FROM_BYTES;
  const packing = isLarge ? Packing.Deflated : Packing.Plain;
  const bytes = isLarge ? deflateRawSync(plain, { level: DEFLATE_LEVEL }) : plain;
  return Buffer.concat([Buffer.from([packing]), bytes]);
}

/** Reads an answer; undefined when it is none, or tells a difference from what is not known. */
export function decodeStoreResult(
  bytes: Buffer,
  objectAt: ObjectAt = () => undefined,
): StoreResult<Changes> | undefined {
  const content = decodeValue(unpacked(bytes));
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
  const read = events.map((event) => eventOf(event, objectAt));
  return read.every((event) => event !== undefined)
    ? { ok: true, value: { events: read, revision: first } }
    : undefined;
}

function wireEventOf({ object, gone }: Event, base: StoredObject<unknown> | undefined): WireEvent {
  const { name, revision, spec, status, made } = object;
  const rest = made === undefined ? ([] as const) : ([status, made] as const);
  if (base?.name !== name || gone) {
    return [name, revision, spec, gone, undefined, ...rest];
  }
  const { part, digest } = differenceOf(base.spec, spec);
  return [name, revision, [part, digest], gone, base.revision, ...rest];
}

function eventOf(
  [name, revision, content, gone, base, status, made]: WireEvent,
  objectAt: ObjectAt,
): Event | undefined {
  const spec = typeof base === 'number' ? specFrom(objectAt(base), content) : content;
  if (spec === undefined) {
    return undefined;
  }
  const rest = typeof made === 'number' ? { status, made } : {};
  return { object: { name, revision, spec, ...rest }, gone };
}

function specFrom(base: StoredObject<unknown> | undefined, content: unknown): unknown {
  const [part, digest] = Array.isArray(content) ? content : [];
  return base && Buffer.isBuffer(digest) ? applyDifference(base.spec, { part, digest }) : undefined;
}

function isWireEvent(value: unknown): value is WireEvent {
  const [name, revision, , gone] = Array.isArray(value) ? value : [];
  return typeof name === 'string' && typeof revision === 'number' && typeof gone === 'boolean';
}

function unpacked(bytes: Buffer): Buffer {
  const content = bytes.subarray(1);
  if (bytes[0] !== Packing.Deflated) {
    return content;
  }
  try {
    return inflateRawSync(content, { maxOutputLength: MAX_INFLATED_BYTES });
  } catch {
    // Not an answer of ours: it decodes to nothing, and its sender counts as silent.
    return Buffer.alloc(0);
  }
}
