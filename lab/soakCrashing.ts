/**
 * Clients of a soak whose requests crash every back end that begins to run them: now and then one of a
 * few such requests comes some times in a row, to nodes drawn at random, each time with another id.
 */
import http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { Run } from './application-stand-in.js';
import { pickOne } from './random.js';
import type { Sidecar } from './sidecarProcesses.js';
import type { CrashingRun, Span } from './sidecarSoakCheck.js';
import { SERVICES, send } from './soakTraffic.js';

const MARKS = ['crash-a', 'crash-b', 'crash-c'];

/** Times that one comes in a row, at the most, and the milliseconds from one to the next. */
const LONGEST_ROW = 8;
const EVERY_MS = 100;

/** Longest time between two rows, in milliseconds. */
const LONGEST_PAUSE_MS = 3_000;

const BODY_BYTES = 300;

export interface CrashingClients {
  /** Calls until stopped; resolves when the last call has ended. */
  run(): Promise<void>;
  stop(): void;
  /** What the back ends have run of these requests. */
  runs(): CrashingRun[];
}

/** Crashes of back ends are brought about by these requests alone. */
export function createCrashingClients(
  sidecars: readonly Sidecar[],
  random: () => number,
): CrashingClients {
  let isOver = false;
  let sent = 0;
  for (const { application, listen } of sidecars) {
    application.crashesUnder = ({ target }) => markOf(target) !== undefined;
    application.onBack = () => void application.announce(() => listen.registrations);
  }
  const call = async (mark: string): Promise<void> => {
    const index = MARKS.indexOf(mark);
    const isSafe = index !== 1;
    const service = SERVICES[index % SERVICES.length];
    sent += 1;
    const agent = new http.Agent();
    await send({
      address: pickOne(sidecars, random).listen.clients,
      path: `/${service}-${isSafe ? 'safe' : 'unsafe'}/${mark}`,
      id: `${mark}-${sent}`,
      method: isSafe ? 'GET' : 'POST',
      bodyBytes: isSafe ? 0 : BODY_BYTES,
      agent,
    });
    agent.destroy();
  };
  return {
    run: async () => {
      const calls: Promise<void>[] = [];
      const callInRow = async (mark: string, times: number) => {
        for (let index = 0; index < times; index += 1) {
          calls.push(call(mark));
          await delay(EVERY_MS);
        }
      };
      // All come early: one that first came after the faults would end back ends as it is granted to.
      for (const mark of MARKS) {
        await callInRow(mark, LONGEST_ROW);
      }
      while (!isOver) {
        await delay(random() * LONGEST_PAUSE_MS);
        await callInRow(pickOne(MARKS, random), 1 + Math.floor(random() * LONGEST_ROW));
      }
      await Promise.all(calls);
    },
    stop: () => {
      isOver = true;
    },
    runs: () =>
      sidecars.flatMap(({ application }) =>
        application.runs.flatMap(({ target, at }) => {
          const mark = markOf(target);
          return mark === undefined ? [] : [{ mark, at }];
        }),
      ),
  };
}

/** True for a run that one of these requests has brought about. */
export function isCrashing({ target }: Pick<Run, 'target'>): boolean {
  return markOf(target) !== undefined;
}

function markOf(target: string): string | undefined {
  return MARKS.find((mark) => target.endsWith(`/${mark}`));
}

/** The time of a fault, in steady milliseconds, as it begins; its end is set when it is over. */
export function openSpan(): Span {
  return { from: performance.now(), until: Number.POSITIVE_INFINITY };
}
