/**
 * The clocks of a node whose machine may be suspended. The steady clock of the process does not
 * count the time of a suspension, so after a resume old information would seem fresh and passed
 * deadlines would seem to lie in the future. These clocks detect suspensions and add their
 * duration.
 */
import { uptime } from 'node:os';
import type { Clock } from './clock.js';

/** The clocks that time is read from, in milliseconds; each has its own starting point. */
export interface ClockSources {
  /** Never jumps, and stops while the machine is suspended. */
  readonly monotonic: () => number;
  /** The time of day. Counts the time of a suspension, and jumps when the clock is set. */
  readonly wallClock: () => number;
  /**
   * Time since the machine was started. Counts the time of a suspension and never jumps, unless the
   * system returns the uptime of another machine.
   */
  readonly uptime: () => number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** The clocks of this process. */
export const SYSTEM_CLOCK_SOURCES: ClockSources = {
  monotonic: () => performance.now(),
  wallClock: () => Date.now(),
  uptime: () => uptime() * MILLISECONDS_PER_SECOND,
};

/** The clocks of one node. */
export interface NodeClocks {
  /** For deadlines: counts the time that has certainly passed. */
  readonly clock: Clock;
  /**
   * For the age of information: counts the time that may have passed. Never behind {@link clock}.
   */
  readonly freshnessClock: Clock;
  /**
   * Registers a listener for resumes. It is called after {@link clock} has jumped, with the
   * duration of the suspension in milliseconds.
   */
  onResume(listener: (suspendedMs: number) => void): void;
}

/**
 * Smallest difference between the movements of the time of day and the steady clock, in
 * milliseconds, that counts as a jump. It is larger than corrections by network time, and smaller
 * than any deadline or maximum age.
 */
const JUMP_MS = 250;

/** Interval for reading the uptime, in milliseconds; a reading takes 5 microseconds. */
const UPTIME_INTERVAL_MS = 500;

/**
 * The uptime is considered reliable after it has moved like the steady clock for this time, within
 * this tolerance, in milliseconds. The uptime has a resolution of 10 milliseconds, and on a
 * simulated machine it may be the uptime of another machine.
 */
const RELIABLE_AFTER_MS = 5_000;
const TOLERANCE_MS = 30;

/** Compares the uptime with the steady clock. `at` is the current steady time in milliseconds. */
interface UptimeMonitor {
  /** True if the uptime is known to move like the steady clock, and so can show a suspension. */
  readonly isReliable: boolean;
  /** Reads the uptime if the interval has passed since the last reading. */
  update(at: number): void;
  /**
   * Returns how much more than the steady clock the uptime has moved since the reference was set,
   * in milliseconds, and takes the current difference between them as the new reference. `update`
   * sets the reference only when the difference has moved beyond the tolerance.
   */
  measureJumpMs(at: number): number;
}

function createUptimeMonitor({ monotonic, uptime }: ClockSources): UptimeMonitor {
  let readAt = monotonic();
  let inSyncSince = readAt;
  let offset = uptime() - readAt;
  return {
    get isReliable() {
      return readAt - inSyncSince >= RELIABLE_AFTER_MS;
    },
    update: (at) => {
      if (at - readAt < UPTIME_INTERVAL_MS) {
        return;
      }
      readAt = at;
      const currentOffset = uptime() - at;
      if (Math.abs(currentOffset - offset) > TOLERANCE_MS) {
        offset = currentOffset;
        inSyncSince = at;
      }
    },
    measureJumpMs: (at) => {
      const currentOffset = uptime() - at;
      const jumpMs = currentOffset - offset;
      offset = currentOffset;
      return jumpMs;
    },
  };
}

/**
 * Detects a suspension by a jump of the time of day, at the first reading after it. If the uptime
 * has jumped as well, the machine was suspended; if not, the clock was only set. If the uptime is
 * not reliable, a jump forward may have been a suspension. Then only the freshness clock advances,
 * which at worst causes information to be requested again. Deadlines do not change, because
 * requests would otherwise be given up when the clock is only set.
 */
export function createNodeClocks(sources: ClockSources = SYSTEM_CLOCK_SOURCES): NodeClocks {
  const { monotonic, wallClock } = sources;
  const uptimeMonitor = createUptimeMonitor(sources);
  const listeners: ((suspendedMs: number) => void)[] = [];
  let wallClockOffset = wallClock() - monotonic();
  let suspendedMs = 0;
  let maybeSuspendedMs = 0;

  const onJump = (jumpMs: number, at: number): void => {
    const uptimeJumpMs = uptimeMonitor.measureJumpMs(at);
    if (!uptimeMonitor.isReliable) {
      maybeSuspendedMs += Math.max(0, jumpMs);
    } else if (uptimeJumpMs >= JUMP_MS) {
      suspendedMs += uptimeJumpMs;
      for (const listener of listeners) {
        listener(uptimeJumpMs);
      }
    }
  };
  /** Checks for a jump of the time of day and returns the steady time of the process. */
  const readSteadyTime = (): number => {
    const at = monotonic();
    const offset = wallClock() - at;
    const jumpMs = offset - wallClockOffset;
    wallClockOffset = offset;
    if (Math.abs(jumpMs) >= JUMP_MS) {
      onJump(jumpMs, at);
    } else {
      uptimeMonitor.update(at);
    }
    return at;
  };
  return {
    clock: { now: () => readSteadyTime() + suspendedMs },
    freshnessClock: { now: () => readSteadyTime() + suspendedMs + maybeSuspendedMs },
    onResume: (listener) => {
      listeners.push(listener);
    },
  };
}
