/** Clients that send requests at an even rate, whatever becomes of the earlier ones. */
import { setTimeout as delay } from 'node:timers/promises';
import { type ClientCall, type ClientResult, call } from '../lab/sidecar-mesh.js';

const MILLISECONDS_PER_SECOND = 1_000;

export interface SteadyLoad {
  /** Ingresses, taken in turn. */
  readonly addresses: () => readonly string[];
  readonly perSecond: number;
  readonly seconds: number;
  /** Paths, taken in turn. */
  readonly paths: readonly string[];
  readonly options?: (index: number) => ClientCall;
}

/** One request of the load and what its client got. */
export interface SteadyResult extends ClientResult {
  readonly requestId: string;
  readonly path: string;
  /** Steady time in milliseconds at which it was sent. */
  readonly sentAt: number;
}

let loads = 0;

/** Resolves with all results once the last request has ended. */
export async function sendSteadily(load: SteadyLoad): Promise<SteadyResult[]> {
  const { addresses, perSecond, seconds, paths, options = () => ({}) } = load;
  loads += 1;
  const prefix = `load-${loads}`;
  const startedAt = performance.now();
  const running: Promise<SteadyResult>[] = [];
  for (let index = 0; index < perSecond * seconds; index += 1) {
    const dueAt = startedAt + (index * MILLISECONDS_PER_SECOND) / perSecond;
    await delay(Math.max(0, dueAt - performance.now()));
    const targets = addresses();
    const path = paths[index % paths.length] as string;
    const address = targets[Math.floor(index / paths.length) % targets.length] as string;
    const requestId = `${prefix}-${index}`;
    const sentAt = performance.now();
    running.push(
      call(address, path, { ...options(index), requestId }).then((result) => ({
        ...result,
        requestId,
        path,
        sentAt,
      })),
    );
  }
  return Promise.all(running);
}
