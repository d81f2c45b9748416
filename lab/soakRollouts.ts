/**
 * Roll-outs of a soak, one after the other: one back end of a service starts again with another version, good
 * or bad. Once that is completed the others, which run nothing any more, end at once and come back with it;
 * else it comes back with the version that it had.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { ROLLOUT_KIND } from '../platform/rollouts.js';
import { RolloutState } from '../src/rollout/rolloutOrder.js';
import type { ApplicationStandIn, Run, RunFate } from './application-stand-in.js';
import type { MemoryStore } from './memory-store.js';
import { isCrashing } from './soakCrashing.js';
import { addFate } from './soakFates.js';
import type { RolloutHistory } from './soakRolloutsCheck.js';
import { SERVICES } from './soakTraffic.js';

const DURATION_MS = 9_000;

/** Back ends are away for so long when they start with another version, in milliseconds. */
const RESTART_MS = 300;

/** Longest time between two orders, in milliseconds, and the time between two looks at the status. */
const LONGEST_PAUSE_MS = 2_000;
const LOOK_EVERY_MS = 20;

/** What goes on for so long after the end of an order is part of its history, in milliseconds. */
const AFTERMATH_MS = 500;

const FAILED: RunFate = { status: 500 };

export interface SoakRollouts {
  /** Orders until stopped; resolves when the last one has ended. */
  run(): Promise<void>;
  stop(): void;
  readonly histories: readonly RolloutHistory[];
}

export function createSoakRollouts(
  applications: readonly ApplicationStandIn[],
  store: MemoryStore,
  random: () => number,
): SoakRollouts {
  const histories: RolloutHistory[] = [];
  let isOver = false;

  const stateOf = (service: string): unknown =>
    (store.kind(ROLLOUT_KIND).get(service)?.status as { state?: unknown } | undefined)?.state;

  const ended = async (service: string): Promise<unknown> => {
    const until = performance.now() + DURATION_MS;
    const isEnded = () =>
      [RolloutState.Completed, RolloutState.RolledBack].some((state) => state === stateOf(service));
    while (!isEnded() && performance.now() < until) {
      await delay(LOOK_EVERY_MS);
    }
    return stateOf(service);
  };

  /** Runs the order to its end. */
  const order = async (service: string, targetVersion: string, isBad: boolean): Promise<void> => {
    const ofService = applications.filter((each) => each.service === service);
    const [target, ...others] = ofService;
    if (!target) {
      return;
    }
    const earlier = target.version;
    const orderedAt = performance.now();
    const spec = { service, 'target-version': targetVersion, 'duration-s': DURATION_MS / 1_000 };
    store.put(ROLLOUT_KIND, service, spec);
    const mend = isBad ? addFate(target, failsHalf(targetVersion)) : () => {};
    await startAs(target, targetVersion);
    const isCompleted = (await ended(service)) === RolloutState.Completed;
    const endedAt = performance.now();
    if (isCompleted) {
      await Promise.all(others.map((each) => startAs(each, targetVersion)));
    }
    await delay(AFTERMATH_MS);
    const runs = ofService.flatMap((each) => each.runs).filter(({ at }) => at >= orderedAt);
    const isCut = ({ version, cutAt = 0 }: Run): boolean =>
      version !== targetVersion && cutAt >= endedAt;
    histories.push({
      service,
      targetVersion,
      isBad,
      states: statesSince(store, service, orderedAt),
      runs: runs.length,
      exposed: runs.filter(({ version }) => version === targetVersion).length,
      cut: isCompleted ? runs.filter((run) => isCut(run) && !isCrashing(run)).length : 0,
    });
    if (!isCompleted) {
      await startAs(target, earlier);
    }
    mend();
    store.delete(ROLLOUT_KIND, service);
  };

  return {
    run: async () => {
      for (let index = 2; !isOver; index += 1) {
        await delay(random() * LONGEST_PAUSE_MS);
        const isBad = random() < 0.5;
        await order(SERVICES[index % SERVICES.length] as string, `v${index}`, isBad);
      }
    },
    stop: () => {
      isOver = true;
    },
    histories,
  };
}

/** Half of the requests, by their ids. */
function failsHalf(badVersion: string): (run: Run) => RunFate {
  return ({ version, requestId }) =>
    version === badVersion && requestId.charCodeAt(requestId.length - 1) % 2 === 1 ? FAILED : {};
}

/** Ends a back end with whatever it runs; resolves when it is back. */
async function startAs(application: ApplicationStandIn, version: string): Promise<void> {
  application.version = version;
  application.crash(RESTART_MS);
  do {
    await delay(LOOK_EVERY_MS);
  } while (!application.isListening);
}

function statesSince(store: MemoryStore, service: string, since: number): unknown[] {
  return store.log
    .filter(({ kind, object }) => kind === ROLLOUT_KIND && object.name === service)
    .filter(({ gone, at }) => !gone && at >= since)
    .map(({ object }) => (object.status as { state?: unknown } | undefined)?.state);
}
