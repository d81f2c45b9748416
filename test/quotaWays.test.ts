/**
 * Ways of sharing quotas among nodes, simulated without a network: no tenant may exceed its bound
 * in any window, and the product's way must refuse few requests of other tenants and cost few
 * calls.
 */
import { describe, expect, it } from 'vitest';
import { playQuotaTrial, type QuotaTrial } from '../lab/quotaTrial.js';
import { QuotaWay } from '../lab/quotaWays.js';

const SCENARIOS: readonly [string, Omit<QuotaTrial, 'way' | 'nodes' | 'seed'>][] = [
  ['hot, 3 times', { heat: 3 }],
  ['hot, 6 times', { heat: 6 }],
  ['hot, clients keep to their nodes', { heat: 6, sticks: true }],
  ['hot, a zone cut off', { heat: 6, isCut: true }],
  ['hot, a quarter killed and started', { heat: 6, isKilled: true }],
  ['its limit lowered below what it sends', { heat: 1, limitedTo: 0.5 }],
  ['hot, its limit raised', { heat: 6, limitedTo: 3.2 }],
];

/**
 * At most this share of the other tenants' requests may be refused, also while a zone is cut off.
 */
const MAX_REFUSED_SHARE = 0.01;

/**
 * Upper limit of quota calls per node and second. For comparison: a node has 19 requests a second,
 * each of which costs two calls anyway.
 */
const MAX_CALLS = 25;

/** If set, the rows of the design note's table are printed, with the other ways. */
const PRINTS_TABLE = process.env.QUOTA_TABLE !== undefined;

async function play(trial: QuotaTrial, name: string) {
  const result = await playQuotaTrial(trial);
  if (PRINTS_TABLE) {
    const cells = Object.values(result).map((value) => (value as number).toFixed(4));
    process.stdout.write(`| ${trial.nodes} | ${name} | ${trial.way} | ${cells.join(' | ')} |\n`);
  }
  return result;
}

describe.each([69, 1_000])('%i nodes', (nodes) => {
  it.each(SCENARIOS)(
    'keep the bound, and refuse few requests of other tenants: %s',
    async (name, scenario) => {
      const result = await play({ ...scenario, way: QuotaWay.Borrowed, nodes, seed: 40 }, name);
      expect(result.worst).toBeLessThanOrEqual(1);
      expect(result.refused).toBeLessThan(MAX_REFUSED_SHARE);
      expect(result.refusedSmall).toBeLessThan(MAX_REFUSED_SHARE);
      expect(result.calls).toBeLessThan(MAX_CALLS);
      for (const way of PRINTS_TABLE ? [QuotaWay.EqualParts, QuotaWay.ToldAndShared] : []) {
        await play({ ...scenario, way, nodes, seed: 40 }, name);
      }
    },
    60_000,
  );
});
