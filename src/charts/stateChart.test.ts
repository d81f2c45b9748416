import { expect, it } from 'vitest';
import { createLifecycle, LifecycleEvent, LifecycleState } from '../sidecar/lifecycle.js';
import definition from './sidecar-lifecycle.json' with { type: 'json' };

it('the lifecycle passes its states in order and ignores events without a transition', () => {
  const states: LifecycleState[] = [];
  const lifecycle = createLifecycle((state) => states.push(state));
  lifecycle.send(LifecycleEvent.TasksEnded);
  expect(lifecycle.state).toBe(LifecycleState.Starting);
  for (const event of [
    LifecycleEvent.Listening,
    LifecycleEvent.Stop,
    LifecycleEvent.Stop,
    LifecycleEvent.NoticeGiven,
    LifecycleEvent.TasksEnded,
    LifecycleEvent.GraceSpent,
    LifecycleEvent.Stop,
  ]) {
    lifecycle.send(event);
  }
  expect(states).toEqual([
    LifecycleState.Serving,
    LifecycleState.Leaving,
    LifecycleState.RefusingTasks,
    LifecycleState.RefusingClients,
    LifecycleState.Stopped,
  ]);
});

it('the chart file has exactly the states and events of the enums', () => {
  const { states } = definition;
  expect(Object.keys(states).sort()).toEqual(Object.values(LifecycleState).sort());
  const transitions = Object.values(states).map((state) => ('on' in state ? state.on : {}));
  const events = new Set(transitions.flatMap((on) => Object.keys(on)));
  expect([...events].sort()).toEqual(Object.values(LifecycleEvent).sort());
  const targets = transitions.flatMap((on) => Object.values(on));
  expect(Object.keys(states)).toEqual(expect.arrayContaining(targets));
});
