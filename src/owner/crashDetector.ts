/**
 * Distinguishes a crash of the back end from a lost connection, and finds the requests that were in
 * flight when it crashed. After a crash nothing listens at the back end's address any more; a back
 * end that has only reset a connection still listens.
 */

import net from 'node:net';
import type { Clock } from '../model/clock.js';
import { endpointOf } from '../model/endpoint.js';
import type { InFlightRequest } from '../quarantine/crashTracker.js';
import { type BackEndIncarnation, isSameIncarnation } from '../registry/backEndIncarnation.js';
import type { OwnerOutcome } from './owner.js';

/** A port on the same machine accepts or refuses a connection within this time, in milliseconds. */
const CONNECT_TIMEOUT_MS = 100;

/**
 * An ended run is a possible cause of a crash for this time, in milliseconds: back ends may go on
 * working after their caller has left, most of them for less than a second.
 */
const ENDED_RUN_MS = 1_000;

/**
 * A back end may restart before its port is checked. A new incarnation within this time, in
 * milliseconds, after a lost run then shows the crash, even if its id is the same: heartbeats
 * arrive every one or two seconds.
 */
const LOST_RUN_MS = 5_000;

/** The parts of the owner that the detector uses. */
export interface CrashDetectorContext {
  readonly clock: Clock;
  /**
   * An incarnation has crashed. The requests are those in flight then, and those that ended without
   * an answer less than ENDED_RUN_MS before.
   */
  readonly onCrash: (incarnation: BackEndIncarnation, inFlight: readonly InFlightRequest[]) => void;
  /** Resolves with true if something listens at an address. Replaced in tests. */
  readonly isListening?: (address: string) => Promise<boolean>;
}

/** A run that the back end may have started. */
export interface MonitoredRun {
  /** The incarnation that is known when the run begins. */
  readonly incarnation: BackEndIncarnation;
  readonly address: string;
  readonly request: InFlightRequest;
}

/** A run that has ended without an answer and may have been executed. */
interface EndedRun extends MonitoredRun {
  /** Steady time in milliseconds at which the run ended. */
  readonly endedAt: number;
  /** False if the caller cancelled the run; true if it ended in any other way without an answer. */
  readonly isLost: boolean;
}

export interface CrashDetector {
  /** Records a run whose request is about to be sent. */
  begin(run: MonitoredRun): void;
  /**
   * Records how a run ended. Resolves within one connect timeout: with true if the run was lost and
   * nothing listens at the back end's address any more, otherwise with false.
   */
  end(run: MonitoredRun, outcome: OwnerOutcome): Promise<boolean>;
  /** Records the present incarnation. If a previous one lost runs recently, it has crashed. */
  noteIncarnation(incarnation: BackEndIncarnation): void;
}

export function createCrashDetector(context: CrashDetectorContext): CrashDetector {
  const { clock, onCrash, isListening = listensAt } = context;
  /** Runs in flight, with the steady times in milliseconds at which they began. */
  const begunAtByRun = new Map<MonitoredRun, number>();
  /** Recent runs without an answer, the oldest first. */
  let ended: EndedRun[] = [];
  let crashed: BackEndIncarnation | undefined;
  let portCheck: Promise<boolean> | undefined;

  /**
   * Reports the crash of an incarnation once. Runs that began after `begunUntil` are left out, as
   * they ran on a later incarnation that was not yet known.
   */
  const noteCrash = (
    incarnation: BackEndIncarnation,
    begunUntil = Number.POSITIVE_INFINITY,
  ): void => {
    if (crashed && isSameIncarnation(incarnation, crashed)) {
      return;
    }
    crashed = incarnation;
    const endedRuns = ended.filter((run) => isSameIncarnation(run.incarnation, incarnation));
    ended = ended.filter((run) => !endedRuns.includes(run));
    const crashedAt = endedRuns.at(-1)?.endedAt ?? clock.now();
    const recentlyEnded = endedRuns.filter(({ endedAt }) => crashedAt - endedAt < ENDED_RUN_MS);
    const inFlight = [...begunAtByRun]
      .filter(
        ([run, begunAt]) =>
          isSameIncarnation(run.incarnation, incarnation) && begunAt <= begunUntil,
      )
      .map(([run]) => run);
    const endedRequests = recentlyEnded.map(({ request, isLost }) => ({
      ...request,
      isAbandoned: !isLost,
    }));
    onCrash(incarnation, [...endedRequests, ...inFlight.map(({ request }) => request)]);
  };

  /** Runs that end at the same moment share one check of the port. */
  const isAddressClosed = ({ incarnation, address }: MonitoredRun): Promise<boolean> => {
    portCheck ??= isListening(address).then((listening) => {
      portCheck = undefined;
      if (!listening) {
        noteCrash(incarnation);
      }
      return !listening;
    });
    return portCheck;
  };

  return {
    begin: (run) => {
      begunAtByRun.set(run, clock.now());
    },
    end: async (run, outcome) => {
      begunAtByRun.delete(run);
      if (outcome.kind !== 'unknown') {
        return false;
      }
      const now = clock.now();
      const isLost = outcome.reason !== 'cancelled' && outcome.reason !== 'unread';
      ended = ended.filter(({ endedAt }) => now - endedAt < LOST_RUN_MS);
      ended.push({ ...run, endedAt: now, isLost });
      return isLost && isAddressClosed(run);
    },
    noteIncarnation: (incarnation) => {
      const now = clock.now();
      const lost = ended.findLast(({ isLost, endedAt }) => isLost && now - endedAt < LOST_RUN_MS);
      // If `bornAt` was unknown when the run began, the run belongs to a previous incarnation.
      if (lost && !isOfIncarnation(lost, incarnation)) {
        noteCrash(lost.incarnation, lost.endedAt);
      }
      if (crashed && isSameIncarnation(crashed, incarnation)) {
        crashed = undefined;
      }
    },
  };
}

function isOfIncarnation(run: MonitoredRun, other: BackEndIncarnation): boolean {
  return run.incarnation.instance === other.instance && run.incarnation.bornAt === other.bornAt;
}

function listensAt(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect(endpointOf(address));
    const done = (listening: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(listening);
    };
    // A port that neither accepts nor refuses a connection belongs to a slow back end, not a
    // crashed one.
    const timer = setTimeout(() => done(true), CONNECT_TIMEOUT_MS);
    socket.on('connect', () => done(true));
    socket.on('error', (error: NodeJS.ErrnoException) => done(error.code !== 'ECONNREFUSED'));
  });
}
