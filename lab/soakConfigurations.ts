/** The configuration of a soak, which changes again and again, and whether it is in force in time. */

import { setTimeout as delay } from 'node:timers/promises';
import { CONFIGURATION_KIND, CONFIGURATION_NAME } from './labOutside.js';
import type { MemoryStore } from './memory-store.js';
import type { Sidecar } from './sidecarProcesses.js';
import { type SoakBreach, SoakRule } from './sidecarSoakCheck.js';
import { configurationOf } from './soakTraffic.js';

/** A configuration is in force within this time, in milliseconds: the nodes' own setting. */
export const APPLY_MS = 2_000;

/** Nodes are bound again this long after the last fault, in milliseconds. */
export const CONTACT_MS = 3_000;

/** A machine that is short of processor time tells of what is in force so much later, in milliseconds. */
const SLACK_MS = 400;

export interface SoakConfigurations {
  /** The newest version that is in the store. */
  readonly version: number;
  /** Steady time in milliseconds at which each version came into the store. */
  readonly writtenAt: ReadonlyMap<number, number>;
  /** Writes the next version. */
  change(): void;
  /** A change soon after the last fault: in force in time on every node that is in touch again. */
  checkChange(sidecars: readonly Sidecar[]): Promise<void>;
  /** What was not in force in time. */
  readonly late: readonly SoakBreach[];
}

/** Writes the first version. */
export function createSoakConfigurations(
  store: MemoryStore,
  random: () => number,
): SoakConfigurations {
  const writtenAt = new Map<number, number>();
  const late: SoakBreach[] = [];
  let version = 0;
  const change = () => {
    version += 1;
    writtenAt.set(version, performance.now());
    store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, configurationOf(version));
  };
  change();

  return {
    get version() {
      return version;
    },
    writtenAt,
    change,
    checkChange: async (sidecars) => {
      const calmAt = performance.now();
      await delay(random() * CONTACT_MS);
      change();
      const changedAt = performance.now();
      const boundAt = Math.max(calmAt + CONTACT_MS, changedAt + APPLY_MS);
      await delay(boundAt + SLACK_MS - changedAt);
      for (const { name, process } of sidecars) {
        const inForce = process.events.findLast(({ event }) => event === 'configuration');
        if (Number(inForce?.version ?? 0) < version) {
          const sinceMs = Math.round(changedAt - calmAt);
          const detail = `${name} has ${inForce?.version}, not ${version}, written ${sinceMs} ms after the last fault`;
          late.push({ rule: SoakRule.Config, detail });
        }
      }
    },
    late,
  };
}
