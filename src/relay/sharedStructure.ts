/**
 * Lets two versions of an object share what is the same in both. A configuration of 1,600 routes
 * changes by a few of them: what is shared need not be sent, translated or checked again, and the
 * versions that a node keeps cost it little more than one.
 */

type Fields = Readonly<Record<string, unknown>>;

/** `next`, with every part that equals one of `previous` replaced by that part. */
export function shareStructure<Value>(previous: unknown, next: Value): Value {
  return shared(previous, next) as Value;
}

function shared(previous: unknown, next: unknown): unknown {
  if (previous === next || !isStructure(previous) || !isStructure(next)) {
    return next;
  }
  if (Array.isArray(previous) && Array.isArray(next)) {
    return sharedItems(previous, next);
  }
  return Array.isArray(previous) || Array.isArray(next)
    ? next
    : sharedFields(previous as Fields, next as Fields);
}

function sharedFields(previous: Fields, next: Fields): Fields {
  const keys = Object.keys(next);
  const result: Record<string, unknown> = {};
  let isSame = keys.length === Object.keys(previous).length;
  for (const key of keys) {
    const part = shared(previous[key], next[key]);
    result[key] = part;
    isSame &&= key in previous && part === previous[key];
  }
  return isSame ? previous : result;
}

function sharedItems(previous: readonly unknown[], next: readonly unknown[]): readonly unknown[] {
  const result = [...next];
  const start = shareFromStart(previous, result);
  const end = shareFromEnd(previous, result, start);
  shareMoved(previous.slice(start, previous.length - end), result, start, result.length - end);
  const isSame =
    result.length === previous.length && result.every((item, index) => item === previous[index]);
  return isSame ? previous : result;
}

/** Shares the items that are the same from the start on; returns their number. */
function shareFromStart(previous: readonly unknown[], result: unknown[]): number {
  const length = Math.min(previous.length, result.length);
  for (let index = 0; index < length; index += 1) {
    const item = shared(previous[index], result[index]);
    if (item !== previous[index]) {
      return index;
    }
    result[index] = item;
  }
  return length;
}

/** Shares the items that are the same up to the end, as far back as `start`; returns their number. */
function shareFromEnd(previous: readonly unknown[], result: unknown[], start: number): number {
  const length = Math.min(previous.length, result.length) - start;
  for (let count = 0; count < length; count += 1) {
    const old = previous[previous.length - 1 - count];
    const index = result.length - 1 - count;
    const item = shared(old, result[index]);
    if (item !== old) {
      return count;
    }
    result[index] = item;
  }
  return length;
}

/** Shares what has only changed its place; `candidates` are the old items that are not shared yet. */
function shareMoved(
  candidates: readonly unknown[],
  result: unknown[],
  start: number,
  end: number,
): void {
  const byText = new Map(candidates.map((item) => [JSON.stringify(item), item]));
  for (let index = start; index < end; index += 1) {
    const item = result[index];
    result[index] = byText.get(JSON.stringify(item)) ?? item;
  }
}

function isStructure(value: unknown): value is object {
  return typeof value === 'object' && value !== null && !ArrayBuffer.isView(value);
}
