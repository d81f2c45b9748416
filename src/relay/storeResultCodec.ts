/** How a reader's answer travels to its followers: CBOR, deflated where that is worth it. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { decodeValue, encodeValue } from '../codec/frame.js';
import type { StoreChanges, StoreResult } from '../source/object-store.js';

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

type WireEvent = readonly [name: string, revision: number, spec: unknown, gone: boolean];

/** Renders an answer. */
export function packStoreResult(result: StoreResult<StoreChanges<unknown>>): Buffer {
  const content = result.ok
    ? [result.value.revision, result.value.events.map(wireEventOf)]
    : [result.failure];
  const plain = encodeValue(content);
  const isLarge = plain.length > DEFLATE_FROM_BYTES;
  const packing = isLarge ? Packing.Deflated : Packing.Plain;
  const bytes = isLarge ? deflateRawSync(plain, { level: DEFLATE_LEVEL }) : plain;
  return Buffer.concat([Buffer.from([packing]), bytes]);
}

/** Reads an answer; undefined when it is none. */
export function unpackStoreResult(bytes: Buffer): StoreResult<StoreChanges<unknown>> | undefined {
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
  const read = events.map(([name, revision, spec, gone]) => ({
    object: { name, revision, spec },
    gone,
  }));
  return { ok: true, value: { events: read, revision: first } };
}

function wireEventOf({ object, gone }: StoreChanges<unknown>['events'][number]): WireEvent {
  return [object.name, object.revision, object.spec, gone];
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
