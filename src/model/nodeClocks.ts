/**
 * The clocks of a node whose machine may be suspended. The steady clock does not count that time: after
 * it, what was believed before seems fresh, and what has passed seems to lie ahead.
 */
import { uptime } from 'node:os';
import type { Clock } from './clock.js';

/** Where time is read from, in milliseconds; each has a zero of its own. */
export interface ClockSources {
  /** Never jumps, and stands still while the machine is suspended. */
  readonly monotonic: () => number;
  /** Counts a suspension, and jumps when it is set. */
  readonly wallClock: () => number;
  /** Counts a suspension and never jumps, unless the system tells another machine's. */
  readonly uptime: () => number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Those of this process. */
export const SYSTEM_CLOCK_SOURCES: ClockSources = {
  monotonic: () => performance.now(),
  wallClock: () => Date.now(),
  uptime: () => uptime() * MILLISECONDS_PER_SECOND,
};

/** One set for each node. */
export interface NodeClocks {
  /** For deadlines: what has passed for certain. */
  readonly clock: Clock;
  /** For what is only believed: what may have passed. Never behind {@link clock}. */
  readonly freshnessClock: Clock;
  /** Calls the listener, with the milliseconds that were slept, when {@link clock} has jumped. */
  onResume(listener: (sleptMs: number) => void): void;
}

/**
 * The time of day has jumped when it moved so much more, or less, than the steady clock, in milliseconds:
 * more than its corrections by network time, and less than what any deadline or age is about.
 */
const JUMP_MS = 250;

/** The clock since the start of the machine is looked at so often, in milliseconds; a look takes 5 microseconds. */
const LOOK_MS = 500;

/**
 * It is believed once it has kept step with the steady clock for this time, within this tolerance, in
 * milliseconds: it comes in steps of 10, and where machines are simulated it may be another machine's.
 */
const PROOF_MS = 5_000;
const TOLERANCE_MS = 30;

/** Whether the clock since the start of the machine can tell a suspension. */
interface BootClock {
  readonly isProven: boolean;
  /** Looks at it if that is due; `at` is the present steady time in milliseconds. */
  look(at: number): void;
  /** Milliseconds that it has moved more than the steady clock since the last look. */
  takeJumpMs(at: number): number;
}

function createBootClock({ monotonic, uptime }: ClockSources): BootClock {
  let lookedAt = monotonic();
  let inStepSince = lookedAt;
  let offset = uptime() - lookedAt;
  return {
    get isProven() {
      return lookedAt - inStepSince >= PROOF_MS;
    },
    look: (at) => {
      if (at - lookedAt < LOOK_MS) {
        return;
      }
      lookedAt = at;
      const present = uptime() - at;
      if (Math.abs(present - offset) > TOLERANCE_MS) {
        offset = present;
        inStepSince = at;
      }
    },
    takeJumpMs: (at) => {
      const present = uptime() - at;
      const jumpMs = present - offset;
      offset = present;
      return jumpMs;
    },
  };
}

/**
 * A jump of the time of day is what is noticed, at the first reading after it. It was a suspension if
 * the clock since the start of the machine has jumped as well, and the clock was merely set if not.
 * Where that one cannot tell, a jump forward may have been a suspension: beliefs grow older by it, which
 * costs a question, and deadlines stay, since requests would be given up for a clock that was set.
 */
export function createNodeClocks(sources: ClockSources = SYSTEM_CLOCK_SOURCES): NodeClocks {
  const { monotonic, wallClock } = sources;
  const bootClock = createBootClock(sources);
  const listeners: ((sleptMs: number) => void)[] = [];
  let dayOffset = wallClock() - monotonic();
  let sleptMs = 0;
  let maybeSleptMs = 0;

  const onJump = (jumpMs: number, at: number): void => {
    const bootJumpMs = bootClock.takeJumpMs(at);
    if (!bootClock.isProven) {
      maybeSleptMs += Math.max(0, jumpMs);
    } else if (bootJumpMs >= JUMP_MS) {
      sleptMs += bootJumpMs;
      for (const listener of listeners) {
        listener(bootJumpMs);
      }
    }
  };
  const look = (): number => {
    const at = monotonic();
    const offset = wallClock() - at;
    const jumpMs = offset - dayOffset;
    dayOffset = offset;
    if (Math.abs(jumpMs) >= JUMP_MS) {
      onJump(jumpMs, at);
    } else {
      bootClock.look(at);
    }
    return at;
  };
  return {
    clock: { now: () => look() + sleptMs },
    freshnessClock: { now: () => look() + sleptMs + maybeSleptMs },
    onResume: (listener) => {
      listeners.push(listener);
    },
  };
}
