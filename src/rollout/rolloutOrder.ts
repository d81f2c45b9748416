/** What operators order of a roll-out, how far it has come, and what its status says of it. */

/** What the status of an order says. */
export enum RolloutState {
  Running = 'running',
  Completed = 'completed',
  RolledBack = 'rolled_back',
}

/** The traffic of a service is to move to the back ends of a version. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  /** Milliseconds from the order to its deadline. */
  readonly durationMs: number;
  /** The same for as long as it is this order that stands, whatever becomes of its status. */
  readonly id: string;
  /** Undefined until a status was written for this order. */
  readonly state: RolloutState | undefined;
}

/** How far the nodes have come with an order, each told by the decider. */
export enum RolloutPhase {
  /** The target version gets a small share, and is compared with the others. */
  Watch = 1,
  /** It gets a larger one, for a moment. */
  Ramp = 2,
  /** It gets everything new; the others finish what they run. */
  Shift = 3,
  /** It gets nothing: it is bad. */
  Halt = 4,
  /** It is done: the others stop. */
  Done = 5,
}

/** Phases in which the nodes go back to `Watch` by themselves unless they are told again. */
export function isLeased(phase: RolloutPhase): boolean {
  return phase === RolloutPhase.Ramp || phase === RolloutPhase.Shift;
}

/** What the status of an order tells the operator. */
export interface RolloutStatus {
  readonly targetVersion: string;
  readonly state: RolloutState;
}
