/**
 * A short soak test of real processes with a fixed seed: series of overlapping faults must break no
 * rule that the mesh guarantees. `npm run lab -- sidecar-soak` runs longer ones.
 */
import { expect, it } from 'vitest';
import { sidecarSoak } from '../lab/sidecarSoak.js';

const SEED = 7;
const SECONDS = 40;

/** Timeout for start, settling, faults, recovery and the last series, in milliseconds. */
const LIMIT_MS = 120_000;

it(
  'a mesh of processes keeps its guarantees during series of overlapping faults',
  async () => {
    const { breaches, requests, statuses } = await sidecarSoak(
      { seed: SEED, seconds: SECONDS },
      () => {},
    );
    expect(breaches).toEqual([]);
    expect(statuses[200]).toBeGreaterThan(requests / 2);
  },
  LIMIT_MS,
);
