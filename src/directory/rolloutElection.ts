/**
 * Which node decides on a service's roll-out: the first by rank of those that are up. Nodes that know
 * the same others name the same one; one that the store refuses or that does not answer is passed over.
 */
import type { Clock } from '../model/clock.js';
import { rankNames } from '../model/rendezvous.js';
import type { OwnerDirectory } from './owner-directory.js';
import type { OwnerEntry, OwnerRecord } from './owner-entry.js';

/** A node that did not take a report is passed over for so long, in milliseconds. */
const UNREACHABLE_MS = 3_000;

/** And one that the store has refused: so long a store may go on refusing some nodes only. */
const RESIGNED_MS = 5_000;

/** What is needed of the node. */
export interface RolloutElectionContext {
  readonly clock: Clock;
  readonly directory: OwnerDirectory;
  readonly own: () => OwnerRecord;
}

export interface RolloutElection {
  /** Undefined while this node knows of none, itself included. */
  leaderOf(service: string): OwnerEntry | undefined;
  /** True if this node is the first. */
  isLeader(service: string): boolean;
  /** A node has not taken a report. */
  noteUnreachable(node: string): void;
  /** A node says that the store refuses its writes. */
  noteResigned(service: string, node: string): void;
}

export function createRolloutElection(context: RolloutElectionContext): RolloutElection {
  const { clock, directory, own } = context;
  const deafUntil = new Map<string, number>();
  const resignedUntil = new Map<string, number>();

  const mayDecide = (service: string, { record, isLocal, absenceReason }: OwnerEntry): boolean => {
    const now = clock.now();
    const { node } = record;
    const isUp = isLocal || (absenceReason !== 'silent' && now >= (deafUntil.get(node) ?? 0));
    return isUp && now >= (resignedUntil.get(`${service} ${node}`) ?? 0);
  };

  const leaderOf = (service: string): OwnerEntry | undefined => {
    const able = directory.all().filter((entry) => mayDecide(service, entry));
    const names = able.map(({ record }) => record.node);
    const [first] = rankNames(`rollout/${service}`, names);
    return able.find(({ record }) => record.node === first);
  };

  return {
    leaderOf,
    isLeader: (service) => leaderOf(service)?.record.node === own().node,
    noteUnreachable: (node) => {
      deafUntil.set(node, clock.now() + UNREACHABLE_MS);
    },
    noteResigned: (service, node) => {
      resignedUntil.set(`${service} ${node}`, clock.now() + RESIGNED_MS);
    },
  };
}
