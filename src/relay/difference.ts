/**
 * Computes and applies the difference between two versions of an object, so that a node can send
 * the difference instead of the whole object. The versions share their structure
 * (`shareStructure`), so an unchanged part is recognised by its identity.
 */
import { createHash } from 'node:crypto';
import { encodeValue } from '../codec/frame.js';

/** Bytes of a digest that are sent: enough to tell any two versions apart. */
const DIGEST_BYTES = 16;

enum PartKind {
  Same = 0,
  Value = 1,
  Fields = 2,
  Items = 3,
}

/** A part of the new version. */
type Part =
  | readonly [PartKind.Same]
  | readonly [PartKind.Value, unknown]
  /** Every field of the new version, in its order. */
  | readonly [PartKind.Fields, readonly (readonly [name: string, part: Part])[]]
  | readonly [PartKind.Items, readonly Run[]];

/** A run of items that is copied from the old version, or a run of new items. */
type Run = readonly [start: number, count: number] | readonly [newItems: readonly unknown[]];

/** A difference is sent without conversion; {@link applyDifference} checks it. */
export interface Difference {
  readonly part: unknown;
  /** Digest of the new version. */
  readonly digest: Buffer;
}

export function differenceOf(base: unknown, next: unknown): Difference {
  return { part: partOf(base, next), digest: digestOf(next) };
}

/** Returns the new version. Undefined if its digest is not the one in the difference. */
export function applyDifference(base: unknown, { part, digest }: Difference): unknown {
  try {
    const next = applyPart(base, part as Part);
    return digestOf(next).equals(digest) ? next : undefined;
  } catch {
    // Not a difference, or one from another base: the receiver requests the whole object.
    return undefined;
  }
}

const digests = new WeakMap<object, Buffer>();

function digestOf(value: unknown): Buffer {
  const key = isStructure(value) ? value : {};
  const cached = digests.get(key);
  if (cached) {
    return cached;
  }
  const digest = createHash('sha256').update(encodeValue(value)).digest().subarray(0, DIGEST_BYTES);
  digests.set(key, digest);
  return digest;
}

function partOf(base: unknown, next: unknown): Part {
  if (base === next) {
    return [PartKind.Same];
  }
  if (!isStructure(base) || !isStructure(next) || Array.isArray(base) !== Array.isArray(next)) {
    return [PartKind.Value, next];
  }
  if (Array.isArray(base) && Array.isArray(next)) {
    return [PartKind.Items, runsOf(base, next)];
  }
  const old = base as Record<string, unknown>;
  const fields = Object.entries(next).map(
    ([name, value]) => [name, partOf(old[name], value)] as const,
  );
  return [PartKind.Fields, fields];
}

function runsOf(base: readonly unknown[], next: readonly unknown[]): Run[] {
  const baseIndexes = new Map(base.map((item, index) => [item, index]));
  const runs: Run[] = [];
  let copied = { start: 0, count: 0 };
  let added: unknown[] = [];
  const endRun = () => {
    if (copied.count > 0) {
      runs.push([copied.start, copied.count]);
    }
    if (added.length > 0) {
      runs.push([added]);
    }
    copied = { start: 0, count: 0 };
    added = [];
  };
  for (const item of next) {
    const baseIndex = isStructure(item) ? baseIndexes.get(item) : undefined;
    const continuesRun =
      baseIndex === undefined
        ? copied.count === 0
        : copied.count > 0 && baseIndex === copied.start + copied.count;
    if (!continuesRun) {
      endRun();
    }
    if (baseIndex === undefined) {
      added.push(item);
    } else {
      copied = copied.count > 0 ? copied : { start: baseIndex, count: 0 };
      copied.count += 1;
    }
  }
  endRun();
  return runs;
}

function applyPart(base: unknown, part: Part): unknown {
  switch (part[0]) {
    case PartKind.Same:
      return base;
    case PartKind.Value:
      return part[1];
    case PartKind.Fields: {
      const old = base as Record<string, unknown>;
      return Object.fromEntries(
        part[1].map(([name, field]) => [name, applyPart(old[name], field)]),
      );
    }
    case PartKind.Items: {
      const old = base as readonly unknown[];
      return part[1].flatMap((run) =>
        run.length === 2 ? old.slice(run[0], run[0] + run[1]) : run[0],
      );
    }
    default:
      throw new TypeError('unknown kind of part in a difference');
  }
}

function isStructure(value: unknown): value is object {
  return typeof value === 'object' && value !== null && !ArrayBuffer.isView(value);
}
