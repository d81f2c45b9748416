/** Troubles of the store stand-in, each of which ends by itself. */
import { isDeepStrictEqual } from 'node:util';
import { ROLLOUT_KIND } from '../platform/rollouts.js';
import { NODE_KIND } from '../src/directory/directory-sync.js';
import { CONFIGURATION_KIND } from './labOutside.js';
import type { LoggedChange, MemoryStore } from './memory-store.js';
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
  Restored = 'store comes back from a copy',
}

/** Kinds that operators write, the system at the most a status in them. */
const OPERATORS_KINDS: readonly string[] = [CONFIGURATION_KIND, ROLLOUT_KIND];

/** The copy is at the most so old, in milliseconds, and operators write again within this time. */
const OLDEST_COPY_MS = 3_000;
const WRITTEN_AGAIN_MS = 700;

/** What others change in the store after the copy: with a few, its counter would soon be at its old height. */
const OTHERS_CHANGES = 200;

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
    case StoreFault.Restored: {
      const copied = store.revisionBefore(random() * OLDEST_COPY_MS);
      for (let index = 0; index < OTHERS_CHANGES; index += 1) {
        store.put('others', 'counter', { index });
      }
      await hold(ways, forMs, (way, isOn) => {
        way.view.failure = isOn ? 'unavailable' : undefined;
        way.resetStanding();
      });
      const lost = store.restore(copied);
      await new Promise((resolve) => setTimeout(resolve, random() * WRITTEN_AGAIN_MS));
      writeAgain(store, lost, copied);
      return;
    }
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

/** What operators had written is written again, unless they have changed it since. */
function writeAgain(store: MemoryStore, lost: readonly LoggedChange[], copied: number): void {
  const newest = new Map(lost.map((change) => [`${change.kind}/${change.object.name}`, change]));
  for (const { kind, object, gone } of newest.values()) {
    const known = store.kind(kind).get(object.name);
    const isOperators = OPERATORS_KINDS.includes(kind);
    const isOfCopy = known === undefined || known.revision <= copied;
    if (!isOperators || !isOfCopy) {
      continue;
    }
    if (gone) {
      store.delete(kind, object.name);
    } else if (!isDeepStrictEqual(known?.spec, object.spec)) {
      store.put(kind, object.name, object.spec);
    }
  }
}
