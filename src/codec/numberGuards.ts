/** Type guards for numbers in decoded messages, whose fields may have any type. */

/** True for a finite number that is not negative. */
export function isNonNegativeNumber(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value < Number.POSITIVE_INFINITY;
}

/** True for an integer that is not negative and small enough to be exact. */
export function isNonNegativeInteger(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Returns the value if it is a finite number that is not negative, otherwise the fallback. */
export function nonNegativeNumberOr<Fallback>(
  value: unknown,
  fallback: Fallback,
): number | Fallback {
  return isNonNegativeNumber(value) ? value : fallback;
}
