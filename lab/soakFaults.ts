/** Faults of a soak: of the processes, of the back ends beside them, and of the store. */
import type { Run } from './application-stand-in.js';
import type { Behaviour } from './applicationAnswer.js';
import { pickOne } from './random.js';
import type { Sidecar } from './sidecarProcesses.js';
import { addFate } from './soakFates.js';
import { StoreFault, type StoreWays, strikeStore } from './storeFaults.js';

/** Longest fault that ends by itself, in milliseconds. */
const LONGEST_MS = 1_500;

const SLOWER = 6;

/** Parts of the time in which a starved process is stopped and runs, in milliseconds. */
const STARVED_MS = 80;
const RUNNING_MS = 20;

/** How many times as long as usual a back end that hangs takes: longer than any client waits. */
const HANGING = 100;

const BEHAVIOURS: readonly Behaviour[] = [
  'reset',
  'stay-silent',
  'turn-away',
  'answer-another',
  'cut-short',
  'answer-early',
];

/** Faults beside those of the store, each of which ends by itself. */
export enum Fault {
  Kill = 'kill',
  Freeze = 'freeze',
  Starve = 'starve',
  Stop = 'planned stop',
  Reload = 'reload',
  Misbehave = 'back end misbehaves',
  Slow = 'back end is slow',
  Uneven = 'back end is slow for half',
  Hang = 'back end hangs',
  Restart = 'back end starts again',
  KillAll = 'all killed at once',
  Configuration = 'configuration changes',
}

/** Everything that may strike. */
export const FAULTS: readonly (Fault | StoreFault)[] = [
  ...Object.values(Fault),
  ...Object.values(StoreFault),
];

/** What is struck. */
export interface FaultTargets {
  readonly sidecars: readonly Sidecar[];
  readonly platform: StoreWays;
  /** Requests that a back end runs at a time. */
  readonly slots: number;
  readonly changeConfiguration: () => void;
  readonly random: () => number;
  readonly say: (text: string) => void;
}

/** Brings faults about; several may be under way at once. */
export interface FaultInjector {
  /** Resolves when the fault is over. */
  strike(fault: Fault | StoreFault): Promise<void>;
}

export function createFaultInjector(targets: FaultTargets): FaultInjector {
  const { sidecars, platform, slots, changeConfiguration, random, say } = targets;
  /** Sidecars whose processes are being ended or started: one fault at a time has them. */
  const taken = new Set<Sidecar>();

  const withProcesses = async (
    wanted: readonly Sidecar[],
    act: (had: readonly Sidecar[]) => Promise<unknown>,
  ): Promise<void> => {
    const had = wanted.filter((sidecar) => !taken.has(sidecar));
    for (const sidecar of had) {
      taken.add(sidecar);
    }
    await act(had);
    for (const sidecar of had) {
      taken.delete(sidecar);
    }
  };
  const killAndRestart = async (sidecar: Sidecar, pauseMs: number) => {
    await sidecar.process.kill();
    await pause(pauseMs);
    await sidecar.restart();
  };

  const slowDown = async (
    { application }: Sidecar,
    slowness: (run: Run) => number,
    forMs: number,
  ) => {
    const end = addFate(application, (run) => ({ slowness: slowness(run) }));
    await pause(forMs);
    end();
  };

  return {
    strike: async (fault) => {
      const sidecar = pickOne(sidecars, random);
      const forMs = random() * LONGEST_MS;
      say(`soak: ${fault} at ${sidecar.name}`);
      switch (fault) {
        case Fault.Kill:
          return withProcesses([sidecar], ([had]) =>
            had ? killAndRestart(had, forMs) : Promise.resolve(),
          );
        case Fault.Freeze:
          return withProcesses([sidecar], async ([had]) => {
            had?.process.signal('SIGSTOP');
            await pause(forMs);
            had?.process.signal('SIGCONT');
          });
        case Fault.Starve:
          return withProcesses([sidecar], async ([had]) => had && starve(had, forMs));
        case Fault.Stop:
          return withProcesses([sidecar], async ([had]) => {
            await had?.process.stop();
            await had?.restart();
          });
        case Fault.Reload:
          return withProcesses([sidecar], async ([had]) => had?.process.signal('SIGHUP'));
        case Fault.KillAll:
          return withProcesses(sidecars, (had) =>
            Promise.all(had.map((each) => killAndRestart(each, 0))),
          );
        case Fault.Misbehave: {
          const behaviour = pickOne(BEHAVIOURS, random);
          sidecar.application.behaviours.push(...Array<Behaviour>(slots).fill(behaviour));
          return;
        }
        case Fault.Slow:
          return slowDown(sidecar, () => SLOWER, forMs);
        case Fault.Uneven:
          return slowDown(sidecar, ({ requestId }) => (isOdd(requestId) ? SLOWER : 1), forMs);
        case Fault.Hang:
          return slowDown(sidecar, () => HANGING, forMs);
        case Fault.Restart:
          sidecar.application.crash(forMs);
          await pause(forMs);
          return;
        case Fault.Configuration:
          changeConfiguration();
          return;
        default:
          await strikeStore(platform, fault, forMs, random);
      }
    },
  };
}

/** Lets the process run for a fifth of the time only. */
async function starve({ process }: Sidecar, forMs: number): Promise<void> {
  const until = performance.now() + forMs;
  while (performance.now() < until) {
    process.signal('SIGSTOP');
    await pause(STARVED_MS);
    process.signal('SIGCONT');
    await pause(RUNNING_MS);
  }
}

/** By its last figure: half of the requests. */
function isOdd(requestId: string): boolean {
  return requestId.charCodeAt(requestId.length - 1) % 2 === 1;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
