/**
 * Lets two versions of an object share the parts that are equal in both. A configuration of 1,600
 * routes usually changes in only a few of them: the shared parts need not be sent, translated or
 * checked again, and a node that keeps several versions needs little more memory than for one.
 */

type Fields = Readonly<Record<string, unknown>>;

/** Returns `next`, with every part that equals a part of `previous` replaced by that part. */
export function shareStructure<Value>(previous: unknown, next: Value): Value {
  return shareValue(previous, next) as Value;
}

function shareValue(previous: unknown, next: unknown): unknown {
  if (previous === next || !isStructure(previous) || !isStructure(next)) {
    return next;
  }
  if (Array.isArray(previous) && Array.isArray(next)) {
    return shareItems(previous, next);
  }
  return Array.isArray(previous) || Array.isArray(next)
    ? next
    : shareFields(previous as Fields, next as Fields);
}

function shareFields(previous: Fields, next: Fields): Fields {
  const keys = Object.keys(next);
  const result: Record<string, unknown> = {};
  let isSame = keys.length === Object.keys(previous).length;
  for (const key of keys) {
    const value = shareValue(previous[key], next[key]);
    result[key] = value;
    isSame &&= key in previous && value === previous[key];
  }
  return isSame ? previous : result;
}

function shareItems(previous: readonly unknown[], next: readonly unknown[]): readonly unknown[] {
  const result = [...next];
  const start = shareFromStart(previous, result);
  const end = shareFromEnd(previous, result, start);
  shareMoved(previous.slice(start, previous.length - end), result, start, result.length - end);
  const isSame =
    result.length === previous.length && result.every((item, index) => item === previous[index]);
  return isSame ? previous : result;
}

/** Shares the equal items at the start of both arrays and returns their number. */
function shareFromStart(previous: readonly unknown[], result: unknown[]): number {
  const length = Math.min(previous.length, result.length);
  for (let index = 0; index < length; index += 1) {
    const item = shareValue(previous[index], result[index]);
    if (item !== previous[index]) {
      return index;
    }
    result[index] = item;
  }
  return length;
}

/** Shares the equal items at the end of both arrays, after `start`, and returns their number. */
function shareFromEnd(previous: readonly unknown[], result: unknown[], start: number): number {
  const length = Math.min(previous.length, result.length) - start;
  for (let count = 0; count < length; count += 1) {
    const old = previous[previous.length - 1 - count];
    const index = result.length - 1 - count;
    const item = shareValue(old, result[index]);
    if (item !== old) {
      return count;
    }
    result[index] = item;
  }
  return length;
}

/**
 * Shares items between `start` and `end` that have only moved. `candidates` are the items of the
 * previous array that are not shared yet.
 */
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
