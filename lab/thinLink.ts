/** A model of a machine's link: what it carries waits in one queue a direction, at so many bits a second. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Clock } from '../src/model/clock.js';

const BITS_PER_BYTE = 8;
const BITS_PER_MS_OF_ONE_MBPS = 1_000;

/** One direction of a link. */
export interface ThinLink {
  /** Bytes carried so far. */
  readonly bytes: number;
  /** Longest time that a transfer had to wait for others before it, in milliseconds. */
  readonly longestWaitMs: number;
  /** Resolves when so many bytes have come through. */
  carry(bytes: number): Promise<void>;
}

export function createThinLink(clock: Clock, mbps: number): ThinLink {
  let freeAt = 0;
  let carried = 0;
  let longestWaitMs = 0;
  return {
    get bytes() {
      return carried;
    },
    get longestWaitMs() {
      return longestWaitMs;
    },
    carry: async (bytes) => {
      const now = clock.now();
      const startAt = Math.max(now, freeAt);
      longestWaitMs = Math.max(longestWaitMs, startAt - now);
      carried += bytes;
      freeAt = startAt + (bytes * BITS_PER_BYTE) / (mbps * BITS_PER_MS_OF_ONE_MBPS);
      await delay(freeAt - now);
    },
  };
}
