/** The life of a sidecar, as its chart has it. */

import definition from '../charts/sidecar-lifecycle.json' with { type: 'json' };
import { createStateChart, type StateChart } from '../charts/stateChart.js';

export enum LifecycleState {
  Starting = 'starting',
  Serving = 'serving',
  /** Not ready any more; answers tell clients to go elsewhere. */
  Leaving = 'leaving',
  /** The back end gets no new tasks. */
  RefusingTasks = 'refusingTasks',
  /** Nothing new is taken from clients; what runs goes on. */
  RefusingClients = 'refusingClients',
  Stopped = 'stopped',
}

export enum LifecycleEvent {
  Listening = 'LISTENING',
  Stop = 'STOP',
  NoticeGiven = 'NOTICE_GIVEN',
  TasksEnded = 'TASKS_ENDED',
  Idle = 'IDLE',
  GraceSpent = 'GRACE_SPENT',
}

export type Lifecycle = StateChart<LifecycleState, LifecycleEvent>;

/** `onState` is called on entry to each state after the first. */
export function createLifecycle(onState: (state: LifecycleState) => void): Lifecycle {
  return createStateChart(definition, onState);
}
