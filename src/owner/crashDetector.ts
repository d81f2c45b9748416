/**
 * Tells a crash of the back end from a lost connection, and which requests were under way when it
 * crashed. Nothing listens any more at the address of a back end that has crashed; one that has merely
 * reset a connection still does.
 */

import net from 'node:net';
import type { Clock } from '../model/clock.js';
import { endpointOf } from '../model/endpoint.js';
import type { InFlightRequest } from '../quarantine/crashTracker.js';
import { type BackEndIncarnation, isSameIncarnation } from '../registry/backEndIncarnation.js';
import type { OwnerOutcome } from './owner.js';

/** A port on the same machine takes or refuses a connection within this time, in milliseconds. */
const CONNECT_LIMIT_MS = 100;

/**
 * A run that was given up is under suspicion for so long, in milliseconds: back ends may work on after
 * their caller has left, most of them for less than a second.
 */
const LEFT_BEHIND_MS = 1_000;

/**
 * A back end that is back sooner than its port was looked at shows by a new life within this time, in
 * milliseconds, that it had crashed, be it under the same id: heartbeats come every second or two.
 */
const LOST_MS = 5_000;

/** What is needed of the owner. */
export interface CrashDetectorContext {
  readonly clock: Clock;
  /** A life has ended in a crash while these requests, and no others, were under way. */
  readonly onCrash: (life: BackEndIncarnation, underWay: readonly InFlightRequest[]) => void;
  /** True if something listens at an address; for tests. */
  readonly isListening?: (address: string) => Promise<boolean>;
}

/** A run that a back end may have begun. */
export interface MonitoredRun {
  /** The life that is known when the run begins. */
  readonly incarnation: BackEndIncarnation;
  readonly address: string;
  readonly request: InFlightRequest;
}

/** A run that has ended without an answer. */
interface EndedRun extends MonitoredRun {
  /** Steady time in milliseconds since which nobody waits for it. */
  readonly endedAt: number;
  /** True if the connection was lost, false if the caller gave it up. */
  readonly isLost: boolean;
}

export interface CrashDetector {
  /** A request is about to be sent. */
  begin(run: MonitoredRun): void;
  /**
   * The run has ended in this way. Resolves, within the limit of one connection, with true if nothing
   * listens any more at the back end's address.
   */
  end(run: MonitoredRun, outcome: OwnerOutcome): Promise<boolean>;
  /** This life is there: the one before has crashed if runs were lost with it lately. */
  noteIncarnation(life: BackEndIncarnation): void;
}

export function createCrashDetector(context: CrashDetectorContext): CrashDetector {
  const { clock, onCrash, isListening = listensAt } = context;
  /** Steady times in milliseconds at which the runs that go on began. */
  const underWay = new Map<MonitoredRun, number>();
  /** Without an answer, the oldest first. */
  let ended: EndedRun[] = [];
  let crashed: BackEndIncarnation | undefined;
  let look: Promise<boolean> | undefined;

  /** What began after `begunUntil` ran on a later life, though it was not yet known. */
  const noteCrash = (life: BackEndIncarnation, begunUntil = Number.POSITIVE_INFINITY): void => {
    if (crashed && isSameIncarnation(life, crashed)) {
      return;
    }
    crashed = life;
    const gone = ended.filter((run) => isSameIncarnation(run.incarnation, life));
    ended = ended.filter((run) => !gone.includes(run));
    const crashedAt = gone.at(-1)?.endedAt ?? clock.now();
    const atTheEnd = gone.filter(({ endedAt }) => crashedAt - endedAt < LEFT_BEHIND_MS);
    const running = [...underWay]
      .filter(([run, begunAt]) => isSameIncarnation(run.incarnation, life) && begunAt <= begunUntil)
      .map(([run]) => run);
    onCrash(
      life,
      [...atTheEnd, ...running].map(({ request }) => request),
    );
  };

  /** One look for all the runs that end at the same moment. */
  const lookAt = ({ incarnation, address }: MonitoredRun): Promise<boolean> => {
    look ??= isListening(address).then((listening) => {
      look = undefined;
      if (!listening) {
        noteCrash(incarnation);
      }
      return !listening;
    });
    return look;
  };

  return {
    begin: (run) => {
      underWay.set(run, clock.now());
    },
    end: async (run, outcome) => {
      underWay.delete(run);
      if (outcome.kind !== 'unknown') {
        return false;
      }
      const now = clock.now();
      const isLost = outcome.reason !== 'cancelled';
      ended = ended.filter(({ endedAt }) => now - endedAt < LOST_MS);
      ended.push({ ...run, endedAt: now, isLost });
      return isLost && lookAt(run);
    },
    noteIncarnation: (life) => {
      const now = clock.now();
      const lost = ended.findLast(({ isLost, endedAt }) => isLost && now - endedAt < LOST_MS);
      // A birth that was not told when the run began is that of the life before: this one is new.
      if (lost && !isOfLife(lost, life)) {
        noteCrash(lost.incarnation, lost.endedAt);
      }
      if (crashed && isSameIncarnation(crashed, life)) {
        crashed = undefined;
      }
    },
  };
}

function isOfLife(run: MonitoredRun, life: BackEndIncarnation): boolean {
  return run.incarnation.instance === life.instance && run.incarnation.bornAt === life.bornAt;
}

function listensAt(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect(endpointOf(address));
    const done = (listening: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(listening);
    };
    // What neither takes nor refuses a connection is slow, not gone.
    const timer = setTimeout(() => done(true), CONNECT_LIMIT_MS);
    socket.on('connect', () => done(true));
    socket.on('error', (error: NodeJS.ErrnoException) => done(error.code !== 'ECONNREFUSED'));
  });
}
