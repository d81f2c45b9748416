/** Ways of keeping quotas together, played without a network: none may break the bound, the product's refuses few. */
import { describe, expect, it } from 'vitest';
import { playQuotaTrial, type QuotaTrial } from '../lab/quotaTrial.js';
import { QuotaWay } from '../lab/quotaWays.js';

const TROUBLES: readonly [string, Omit<QuotaTrial, 'way' | 'nodes' | 'seed'>][] = [
  ['hot, 3 times', { heat: 3 }],
  ['hot, 6 times', { heat: 6 }],
  ['hot, clients keep to their nodes', { heat: 6, sticks: true }],
  ['hot, a zone cut off', { heat: 6, isCut: true }],
  ['hot, a quarter killed and started', { heat: 6, isKilled: true }],
  ['its limit lowered below what it sends', { heat: 1, limitedTo: 0.5 }],
  ['hot, its limit raised', { heat: 6, limitedTo: 3.2 }],
];

/** Of the other tenants' requests, a share of 1 in 100 may be refused even while a zone is cut off. */
const NEEDLESS = 0.01;

/** Calls a node and second: far fewer than the two that each of a node's 19 requests a second costs anyway. */
const MOST_CALLS = 25;

/** Prints the rows of the design note, with the other ways. */
const SHOWN = process.env.QUOTA_TABLE !== undefined;

async function play(trial: QuotaTrial, name: string) {
  const result = await playQuotaTrial(trial);
  if (SHOWN) {
    const cells = Object.values(result).map((value) => (value as number).toFixed(4));
    process.stdout.write(`| ${trial.nodes} | ${name} | ${trial.way} | ${cells.join(' | ')} |\n`);
  }
  return result;
}

describe.each([69, 1_000])('%i nodes', (nodes) => {
  it.each(TROUBLES)(
    'keep the bound, and refuse hardly anybody else: %s',
    async (name, trouble) => {
      const result = await play({ ...trouble, way: QuotaWay.Borrowed, nodes, seed: 40 }, name);
      expect(result.worst).toBeLessThanOrEqual(1);
      expect(result.refused).toBeLessThan(NEEDLESS);
      expect(result.refusedSmall).toBeLessThan(NEEDLESS);
      expect(result.calls).toBeLessThan(MOST_CALLS);
      for (const way of SHOWN ? [QuotaWay.EqualParts, QuotaWay.ToldAndShared] : []) {
        await play({ ...trouble, way, nodes, seed: 40 }, name);
      }
    },
    60_000,
  );
});
