/** Lifecycle states and events of a sidecar; the state chart defines the transitions. */

import definition from '../charts/sidecar-lifecycle.json' with { type: 'json' };
import { createStateChart, type StateChart } from '../charts/stateChart.js';

export enum LifecycleState {
  Starting = 'starting',
  Serving = 'serving',
  /** No longer ready. Responses ask clients to connect elsewhere. */
  Leaving = 'leaving',
  /** The back end receives no new tasks. */
  RefusingTasks = 'refusingTasks',
  /** Client requests are no longer accepted. Those in flight continue. */
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

/** Calls `onState` on entry to each state except the first. */
export function createLifecycle(onState: (state: LifecycleState) => void): Lifecycle {
  return createStateChart(definition, onState);
}
