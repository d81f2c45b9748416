/** Exit codes of the operator's commands (docs/OPERATIONS.md). */
export enum ExitCode {
  Ok = 0,
  Usage = 1,
  /** The input was refused; the findings say why. Nothing was written. */
  Rejected = 2,
  /** Somebody else changed the configuration meanwhile. Nothing was written. */
  Conflict = 3,
  /** The store cannot be used now. Nothing was written. */
  Unavailable = 4,
  /** The change may or may not have been written, or the store has lost it: apply the same file again. */
  Unknown = 5,
  /** A version was not in force everywhere in time; who is behind is printed. */
  TimedOut = 6,
}
