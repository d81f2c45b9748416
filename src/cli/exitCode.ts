/** Exit codes of the operator's commands (docs/OPERATIONS.md). */
export enum ExitCode {
  Ok = 0,
  Usage = 1,
  /** The input was rejected for the printed findings. Nothing was written. */
  Rejected = 2,
  /** Another writer has changed the object since it was read. Nothing was written. */
  Conflict = 3,
  /** The store is unavailable. Nothing was written. */
  Unavailable = 4,
  /**
   * The change may or may not have been written, or a restore of the store has removed it. Apply
   * the same file again.
   */
  Unknown = 5,
  /** A wait timed out. For a version, the nodes that are behind are printed. */
  TimedOut = 6,
}
