/** A short soak of real processes with a fixed seed: `npm run lab -- sidecar-soak` plays longer ones. */
import { expect, it } from 'vitest';
import { sidecarSoak } from '../lab/sidecarSoak.js';

const SEED = 7;
const SECONDS = 40;

/** Start, settling, faults, recovery and the last series, in milliseconds. */
const LIMIT_MS = 120_000;

it(
  'a mesh of processes keeps its promises through faults that come in series and overlap',
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
