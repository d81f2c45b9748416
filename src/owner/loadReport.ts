/**
 * Parses the load report that a back end sends with its answers and health answers: running,
 * waiting, slots and optionally its slowness (how long work takes now, in percent of the usual
 * time).
 */

/** The load of a back end at one moment. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes now, as a multiple of the usual time. Undefined if not reported. */
  readonly slowness: number | undefined;
}

const PERCENT = 100;

/** Maximum count of requests or slots; a report with a larger count is invalid. */
const MAX_COUNT = 1_000_000;

/** Plausible range of the slowness: load by other programs cannot explain values outside it. */
const MIN_SLOWNESS = 0.1;
const MAX_SLOWNESS = 100;

/** Parses a report. Undefined if it is invalid. An implausible slowness is left out. */
export function readLoadReport(text: unknown): LoadReport | undefined {
  if (typeof text !== 'string') {
    return undefined;
  }
  const [running, waiting, slots, percent] = text.split(',').map(parseCount);
  if (running === undefined || waiting === undefined || slots === undefined || slots === 0) {
    return undefined;
  }
  const slowness = percent === undefined ? undefined : percent / PERCENT;
  const isPlausible =
    slowness !== undefined && slowness >= MIN_SLOWNESS && slowness <= MAX_SLOWNESS;
  return { running, waiting, slots, slowness: isPlausible ? slowness : undefined };
}

/** Parses a non-negative integer in decimal digits. Undefined if it is invalid or too large. */
function parseCount(text: string): number | undefined {
  const digits = text.trim();
  const count = /^\d{1,7}$/.test(digits) ? Number(digits) : undefined;
  return count !== undefined && count <= MAX_COUNT ? count : undefined;
}
