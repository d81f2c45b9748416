/**
 * Interprets a state chart from a file in XState's format, which XState's tools can draw. The
 * XState library itself is not used: it would have to be loaded at every start, and a sidecar's
 * chart is flat, so this interpreter suffices.
 */

/** A chart without nested states. */
export interface StateChartDefinition {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, StateDefinition>>;
}

interface StateDefinition {
  readonly type?: string;
  /** The next state for each event. */
  readonly on?: Readonly<Record<string, string>>;
}

/** A running chart. */
export interface StateChart<State extends string, Event extends string> {
  readonly state: State;
  /** Moves to the next state. An event without a transition in the present state is ignored. */
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
