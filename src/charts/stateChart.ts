/**
 * Interprets a state chart that is kept in a file, in the form that XState reads, so that its tools
 * can draw it. A sidecar's chart is flat; the library itself would be loaded at every start.
 */

/** A flat chart. */
export interface StateChartDefinition {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, StateDefinition>>;
}

interface StateDefinition {
  readonly type?: string;
  /** The state that each event leads to. */
  readonly on?: Readonly<Record<string, string>>;
}

/** A running chart. */
export interface StateChart<State extends string, Event extends string> {
  readonly state: State;
  /** A state without a transition for the event ignores it. */
  send(event: Event): void;
}

export function createStateChart<State extends string, Event extends string>(
  definition: StateChartDefinition,
  onState: (state: State) => void,
): StateChart<State, Event> {
  let state = definition.initial as State;
  return {
    get state() {
      return state;
    },
    send: (event) => {
      const next = definition.states[state]?.on?.[event];
      if (next !== undefined) {
        state = next as State;
        onState(state);
      }
    },
  };
}
