/** Which decoded values are the numbers that a message means: others may hold anything. */

/** True for a finite number that is not negative. */
export function isNonNegativeNumber(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value < Number.POSITIVE_INFINITY;
}

/** True for a whole number that is not negative. */
export function isNonNegativeInteger(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** The number if it is an amount, else the other one. */
export function nonNegativeNumberOr<Other>(value: unknown, other: Other): number | Other {
  return isNonNegativeNumber(value) ? value : other;
}
