/**
 * What a back end says of its load, in the answers that it gives and in its health answers: running,
 * waiting, slots and, where it tells, how long work takes now in hundredths of what is usual.
 */

/** One report of a back end. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes now, as a multiple of what is usual; undefined when it is not told. */
  readonly slowness: number | undefined;
}

const PERCENT = 100;

/** A figure above this is no count of requests or slots. */
const MAX_COUNT = 1_000_000;

/** Work that takes a tenth or a hundred times what is usual is more than any neighbour explains. */
const MIN_SLOWNESS = 0.1;
const MAX_SLOWNESS = 100;

/** Reads a report; undefined when it is none. A slowness that cannot be is left out of it. */
export function readLoadReport(text: unknown): LoadReport | undefined {
  if (typeof text !== 'string') {
    return undefined;
  }
  const [running, waiting, slots, percent] = text.split(',').map(countOf);
  if (running === undefined || waiting === undefined || slots === undefined || slots === 0) {
    return undefined;
  }
  const slowness = percent === undefined ? undefined : percent / PERCENT;
  const isLikely = slowness !== undefined && slowness >= MIN_SLOWNESS && slowness <= MAX_SLOWNESS;
  return { running, waiting, slots, slowness: isLikely ? slowness : undefined };
}

/** A whole number in plain digits. */
function countOf(text: string): number | undefined {
  const digits = text.trim();
  const count = /^\d{1,7}$/.test(digits) ? Number(digits) : undefined;
  return count !== undefined && count <= MAX_COUNT ? count : undefined;
}
