/** An operator's order for a roll-out, its phases, and the status that the nodes write for it. */

/** State in the status of an order. */
export enum RolloutState {
  Running = 'running',
  Completed = 'completed',
  RolledBack = 'rolled_back',
}

/** An order to move the traffic of a service to the back ends of a version. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  /** Milliseconds from the order to its deadline. */
  readonly durationMs: number;
  /** Id of the order; it does not change with the status. */
  readonly id: string;
  /** Undefined until a status has been written for this order. */
  readonly state: RolloutState | undefined;
}

/** Phase of an order, announced by the leader. */
export enum RolloutPhase {
  /** The target version gets a small share, and is compared with the others. */
  Watch = 1,
  /** The target version gets a larger share for a short time. */
  Ramp = 2,
  /** The target version gets all new requests; the others finish those they run. */
  Shift = 3,
  /** The target version gets no requests, as it is bad. */
  Halt = 4,
  /** The roll-out is completed; the others stop. */
  Done = 5,
}

/**
 * True for phases that fall back to `Watch` on each node unless the leader announces them again.
 */
export function isLeased(phase: RolloutPhase): boolean {
  return phase === RolloutPhase.Ramp || phase === RolloutPhase.Shift;
}

/** The status of an order, as the operator reads it. */
export interface RolloutStatus {
  readonly targetVersion: string;
  readonly state: RolloutState;
}
