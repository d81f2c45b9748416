/** Troubles of the store stand-in, each of which ends by itself. */
import { NODE_KIND } from '../src/directory/directory-sync.js';
import type { MemoryStore } from './memory-store.js';
import type { StoreWay } from './storeServer.js';

/** Part of the nodes that some troubles strike, and how much longer these last than the others. */
const SOME_SHARE = 0.4;
const LONGER = 2;

/** How much later a slow store answers, in milliseconds. */
export const SLOW_STORE_MS = 300;

export enum StoreFault {
  Down = 'store down',
  Silent = 'store silent',
  TurnsAway = 'store turns some away',
  Slow = 'store slow',
  LosesAnswers = 'store loses answers',
  Forgets = 'store forgets its history',
  RecordsLapse = 'records lapse',
  ConnectionsSilent = 'connections to the store go silent',
}

/** The store and each sidecar's way to it. */
export interface StoreWays {
  readonly store: MemoryStore;
  readonly ways: readonly StoreWay[];
}

/** Resolves when the trouble has ended; `forMs` is its length where it has one. */
export async function strikeStore(
  { store, ways }: StoreWays,
  fault: StoreFault,
  forMs: number,
  random: () => number,
): Promise<void> {
  const some = ways.filter(() => random() < SOME_SHARE);
  const hold = async (
    struck: readonly StoreWay[],
    lengthMs: number,
    set: (way: StoreWay, isOn: boolean) => void,
  ) => {
    for (const way of struck) {
      set(way, true);
    }
    // Calls that wait meet the trouble too.
    store.wake();
    await new Promise((resolve) => setTimeout(resolve, lengthMs));
    for (const way of struck) {
      set(way, false);
    }
  };
  switch (fault) {
    case StoreFault.Down:
      return hold(ways, forMs, (way, isOn) => {
        way.view.failure = isOn ? 'unavailable' : undefined;
      });
    case StoreFault.TurnsAway:
      return hold(some, forMs * LONGER, (way, isOn) => {
        way.view.failure = isOn ? 'throttled' : undefined;
      });
    case StoreFault.Silent:
      return hold(some, forMs * LONGER, (way, isOn) => {
        way.isSilent = isOn;
      });
    case StoreFault.Slow:
      return hold(ways, forMs, (way, isOn) => {
        way.delayMs = isOn ? SLOW_STORE_MS : 0;
      });
    case StoreFault.LosesAnswers:
      for (const { view } of some) {
        view.answersToLose += 1;
      }
      return;
    case StoreFault.ConnectionsSilent:
      for (const way of ways) {
        way.silenceStanding();
      }
      return;
    case StoreFault.Forgets:
      store.compact();
      return;
    default:
      for (const name of [...store.kind(NODE_KIND).keys()]) {
        store.delete(NODE_KIND, name);
      }
  }
}
