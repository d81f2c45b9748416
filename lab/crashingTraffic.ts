/** Clients of a mesh of which some send a request that crashes every back end that begins to run it. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Run } from './application-stand-in.js';
import { pickOne, seededRandom } from './random.js';
import { type ClientCall, type ClientResult, call, type SidecarMesh } from './sidecar-mesh.js';

/** What the clients of a request are told to wait at the most, in milliseconds. */
const DEADLINE_MS = 1_500;

/** One request that comes again and again. */
export interface RepeatedRequest extends Pick<ClientCall, 'method'> {
  /** Told by how many were sent before: a constant for the same request each time. */
  readonly path: (index: number) => string;
  readonly body?: (index: number) => string;
  /** Milliseconds from one to the next. */
  readonly everyMs: number;
  /** True for one that crashes what runs it. */
  readonly crashes: boolean;
}

/** One request's fate. */
export interface SentRequest {
  readonly at: number;
  readonly result: ClientResult;
}

/** Sends each request in its turn to machines drawn at random until the time is over. */
export async function sendAlways(
  mesh: SidecarMesh,
  requests: readonly RepeatedRequest[],
  seconds: number,
  seed: number,
): Promise<SentRequest[][]> {
  const until = performance.now() + seconds * 1_000;
  return Promise.all(
    requests.map(async (request, stream) => {
      const random = seededRandom(seed + stream);
      const sent: Promise<SentRequest>[] = [];
      let next = performance.now();
      for (let index = 0; next < until; index += 1) {
        const at = performance.now();
        const { node } = pickOne(mesh.machines, random);
        const result = call(node.addresses.clients, request.path(index), {
          method: request.method ?? 'GET',
          deadlineMs: DEADLINE_MS,
          ...(request.body ? { body: request.body(index) } : {}),
        });
        sent.push(result.then((found) => ({ at, result: found })));
        next += request.everyMs;
        await delay(Math.max(0, next - performance.now()));
      }
      return Promise.all(sent);
    }),
  );
}

/** Runs of a request that came later than so many milliseconds after it had crashed the third back end. */
export function runsAfterThirdCrash(runs: readonly Run[], afterMs: number): Run[] {
  const third = [...runs].sort((left, right) => left.at - right.at)[2];
  return third ? runs.filter(({ at }) => at > third.at + afterMs) : [];
}
