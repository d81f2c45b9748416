/** Status calls to other nodes: probes of absent owners, and notices that this node is ready. */
import type { Clock } from '../model/clock.js';
import { rankNames } from '../model/rendezvous.js';
import type { PeerReport } from '../peer/peerMessages.js';
import type { OwnerDirectory } from './owner-directory.js';
import type { OwnerEntry, OwnerRecord } from './owner-entry.js';

/** Delays between probes of one absent owner, in milliseconds; each is twice the one before. */
const FIRST_PROBE_DELAY_MS = 400;
const MAX_PROBE_DELAY_MS = 4_000;

/**
 * Most absent owners of other zones that are probed per tick, which is ten a second. Without a
 * limit, a partition of n nodes into halves makes each node probe n / 2 others over and over.
 */
const OTHER_ZONE_PROBES_PER_TICK = 1;

/**
 * Number of nodes in other zones that are notified at once when the back end becomes ready. In the
 * own zone all nodes are, since they send it most of its tasks.
 */
const OTHER_ZONE_NODES_NOTIFIED = 8;

/** Dependencies on the directory's synchronisation. */
export interface OwnerProbesContext {
  readonly clock: Clock;
  readonly directory: OwnerDirectory;
  readonly own: () => OwnerRecord;
  /** Sends the own status to a node and returns the node's; undefined if it does not answer. */
  readonly exchangeStatus: (address: string) => Promise<PeerReport | undefined>;
  readonly onReport: (entry: OwnerEntry, report: PeerReport) => void;
}

export interface OwnerProbes {
  /** Probes the absent owners that are due, those of the own zone first. */
  probeDue(): void;
  /**
   * Notifies the nodes of the own zone and a few of other zones that the back end of this node is
   * ready. The remaining nodes find out by their own probes.
   */
  announceReady(): void;
  isAlive(node: string): Promise<boolean>;
}

export function createOwnerProbes(context: OwnerProbesContext): OwnerProbes {
  const { clock, directory, own, exchangeStatus, onReport } = context;
  const probe = async (entry: OwnerEntry): Promise<boolean> => {
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
      const inOwnZone = due.filter((entry) => directory.isInOwnZone(entry));
      const inOtherZones = due
        .filter((entry) => !directory.isInOwnZone(entry))
        .sort((left, right) => left.probeAt - right.probeAt);
      for (const entry of [...inOwnZone, ...inOtherZones.slice(0, OTHER_ZONE_PROBES_PER_TICK)]) {
        entry.probeAt = now + probeDelayMs(entry.failedProbes);
        entry.failedProbes += 1;
        void probe(entry);
      }
    },
    announceReady: () => {
      const others = directory.all().filter((entry) => !entry.isLocal);
      const addressOf = (entry: OwnerEntry) => entry.record.address;
      const inOwnZone = others.filter((entry) => directory.isInOwnZone(entry)).map(addressOf);
      const inOtherZones = others.filter((entry) => !directory.isInOwnZone(entry)).map(addressOf);
      // The rank depends on the node's name, so different nodes notify different ones.
      for (const address of [
        ...inOwnZone,
        ...rankNames(own().node, inOtherZones).slice(0, OTHER_ZONE_NODES_NOTIFIED),
      ]) {
        void exchangeStatus(address);
      }
    },
    isAlive: async (node) => {
      const entry = directory.all().find(({ record }) => record.node === node);
      return entry !== undefined && (await probe(entry));
    },
  };
}

function probeDelayMs(failures: number): number {
  return Math.min(FIRST_PROBE_DELAY_MS * 2 ** failures, MAX_PROBE_DELAY_MS);
}
