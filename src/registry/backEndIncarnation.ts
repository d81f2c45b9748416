/**
 * Identifies incarnations of back ends. A back end may restart under the same id, and then has no
 * tasks or state from before. The id alone is enough to address it, but its state always belongs to
 * one incarnation.
 */

/** One run of a back end process, from its start to its end. */
export interface BackEndIncarnation {
  /** Id of the back end. */
  readonly instance: string;
  /**
   * Start of the incarnation in Unix milliseconds, by the back end's own clock. It is only
   * comparable with other incarnations of the same back end. Undefined if the back end does not
   * report it, or has not reported it yet.
   */
  readonly bornAt: number | undefined;
}

/**
 * True unless the two are known to differ. An incarnation without a start time counts as the same
 * one as any other incarnation of its back end.
 */
export function isSameIncarnation(left: BackEndIncarnation, right: BackEndIncarnation): boolean {
  const hasBothStarts = left.bornAt !== undefined && right.bornAt !== undefined;
  return left.instance === right.instance && (!hasBothStarts || left.bornAt === right.bornAt);
}

/** True if `incarnation` is a later start of the same back end than `than`. */
export function isLaterIncarnation(
  incarnation: BackEndIncarnation,
  than: BackEndIncarnation,
): boolean {
  const { bornAt } = incarnation;
  return (
    incarnation.instance === than.instance &&
    bornAt !== undefined &&
    than.bornAt !== undefined &&
    bornAt > than.bornAt
  );
}

/** Returns the name of an incarnation in records and logs: only the id if its start is unknown. */
export function incarnationName({ instance, bornAt }: BackEndIncarnation): string {
  return bornAt === undefined ? instance : `${instance}.${bornAt}`;
}
