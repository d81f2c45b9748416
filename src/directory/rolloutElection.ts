/**
 * Selects the leader of a service's roll-out: the first by rank of the nodes that are up. Nodes
 * with the same list of nodes select the same one. A node that does not answer, or whose writes the
 * store rejects, is skipped for some seconds.
 */
import type { Clock } from '../model/clock.js';
import { rankNames } from '../model/rendezvous.js';
import type { OwnerDirectory } from './owner-directory.js';
import type { OwnerEntry, OwnerRecord } from './owner-entry.js';

/** Time for which a node that could not be sent a report is skipped, in milliseconds. */
const UNREACHABLE_MS = 3_000;

/**
 * Time for which a resigned node is skipped, in milliseconds: a store may reject the writes of some
 * nodes only for that long.
 */
const RESIGNED_MS = 5_000;

/** Dependencies on the rest of the node. */
export interface RolloutElectionContext {
  readonly clock: Clock;
  readonly directory: OwnerDirectory;
  readonly own: () => OwnerRecord;
}

export interface RolloutElection {
  /** The leader; undefined while no node on record qualifies, this one included. */
  leaderOf(service: string): OwnerEntry | undefined;
  /** True if this node is the leader. */
  isLeader(service: string): boolean;
  /** Called when a report could not be sent to a node. */
  noteUnreachable(node: string): void;
  /** Called when a node has announced that the store rejects its writes. */
  noteResigned(service: string, node: string): void;
}

export function createRolloutElection(context: RolloutElectionContext): RolloutElection {
  const { clock, directory, own } = context;
  const unreachableUntil = new Map<string, number>();
  const resignedUntil = new Map<string, number>();

  const mayLead = (service: string, { record, isLocal, absenceReason }: OwnerEntry): boolean => {
    const now = clock.now();
    const { node } = record;
    const isUp =
      isLocal || (absenceReason !== 'silent' && now >= (unreachableUntil.get(node) ?? 0));
    return isUp && now >= (resignedUntil.get(`${service} ${node}`) ?? 0);
  };

  const leaderOf = (service: string): OwnerEntry | undefined => {
    const candidates = directory.all().filter((entry) => mayLead(service, entry));
    const names = candidates.map(({ record }) => record.node);
    const [first] = rankNames(`rollout/${service}`, names);
    return candidates.find(({ record }) => record.node === first);
  };

  return {
    leaderOf,
    isLeader: (service) => leaderOf(service)?.record.node === own().node,
    noteUnreachable: (node) => {
      unreachableUntil.set(node, clock.now() + UNREACHABLE_MS);
    },
    noteResigned: (service, node) => {
      resignedUntil.set(`${service} ${node}`, clock.now() + RESIGNED_MS);
    },
  };
}
