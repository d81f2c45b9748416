/** Status calls between nodes: whether absent owners are back, and that the own one is ready. */
import type { Clock } from '../model/clock.js';
import { rankNames } from '../model/rendezvous.js';
import type { PeerReport } from '../peer/peerMessages.js';
import type { OwnerDirectory } from './owner-directory.js';
import type { OwnerEntry, OwnerRecord } from './owner-entry.js';

/** Waits between status calls to one absent owner, in milliseconds. */
const FIRST_PROBE_WAIT_MS = 400;
const LONGEST_PROBE_WAIT_MS = 4_000;

/**
 * Absent owners of other zones that are asked in one look, at the most: ten a second, as the looks
 * are. Without a bound, a cut between two halves of n nodes makes each of them ask n / 2 others again
 * and again.
 */
const FAR_PROBES_PER_LOOK = 1;

/**
 * Nodes of other zones that are told at once when the back end becomes ready; of the own zone, all
 * are: they send it most of its work.
 */
const FAR_ANNOUNCED = 8;

/** What is needed of the directory's synchronisation. */
export interface OwnerProbesContext {
  readonly clock: Clock;
  readonly directory: OwnerDirectory;
  readonly own: () => OwnerRecord;
  /** Tells the own status to a node and asks for its; undefined when it does not answer. */
  readonly exchangeStatus: (address: string) => Promise<PeerReport | undefined>;
  readonly onReport: (entry: OwnerEntry, report: PeerReport) => void;
}

export interface OwnerProbes {
  /** Asks the absent owners that are due, those of the own zone first. */
  probeDue(): void;
  /**
   * Tells the nodes of the own zone and a few of the others that the back end here is ready. The
   * rest ask by themselves before long.
   */
  announceReady(): void;
  isAlive(node: string): Promise<boolean>;
}

export function createOwnerProbes(context: OwnerProbesContext): OwnerProbes {
  const { clock, directory, own, exchangeStatus, onReport } = context;
  const ask = async (entry: OwnerEntry): Promise<boolean> => {
    const report = await exchangeStatus(entry.record.address);
    if (report) {
      onReport(entry, report);
    }
    return report !== undefined;
  };
  return {
    probeDue: () => {
      const now = clock.now();
      const due = directory
        .all()
        .filter((entry) => entry.absenceReason && !entry.isLocal && now >= entry.probeAt);
      const near = due.filter((entry) => directory.isInOwnZone(entry));
      const far = due
        .filter((entry) => !directory.isInOwnZone(entry))
        .sort((left, right) => left.probeAt - right.probeAt);
      for (const entry of [...near, ...far.slice(0, FAR_PROBES_PER_LOOK)]) {
        entry.probeAt = now + probeWaitMs(entry.failedProbes);
        entry.failedProbes += 1;
        void ask(entry);
      }
    },
    announceReady: () => {
      const others = directory.all().filter((entry) => !entry.isLocal);
      const addressOf = (entry: OwnerEntry) => entry.record.address;
      const near = others.filter((entry) => directory.isInOwnZone(entry)).map(addressOf);
      const far = others.filter((entry) => !directory.isInOwnZone(entry)).map(addressOf);
      // Each node tells others, so that together they reach all.
      for (const address of [...near, ...rankNames(own().node, far).slice(0, FAR_ANNOUNCED)]) {
        void exchangeStatus(address);
      }
    },
    isAlive: async (node) => {
      const entry = directory.all().find(({ record }) => record.node === node);
      return entry !== undefined && (await ask(entry));
    },
  };
}

function probeWaitMs(failures: number): number {
  return Math.min(FIRST_PROBE_WAIT_MS * 2 ** failures, LONGEST_PROBE_WAIT_MS);
}
