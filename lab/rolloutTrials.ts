/** The orders that the trials of roll-outs play: good and bad versions, and what makes either hard to tell. */
import { RolloutPhase } from '../src/rollout/rolloutOrder.js';
import type { RolloutTrial, TrialFate, TrialRun } from './rolloutTrialPlan.js';

/** One kind of order. */
export interface RolloutCase {
  readonly name: string;
  readonly isBad: boolean;
  readonly trial: Omit<RolloutTrial, 'seed'>;
}

/** Two routes; what is bad on one route is so on the second. */
const BAD_ROUTE = 1;
const RATES: readonly number[] = [10, 75, 300];
const REPORT_DELAYS_MS: readonly number[] = [0, 500, 1_000];
const SHARES: readonly number[] = [0.5, 0.3, 0.12];

/** Two routes with half of the requests each. */
const halves = (perSecond: number) => [perSecond / 2, perSecond / 2];

const USUAL = { perSecond: halves(75) };

/** All nodes on one machine that is busy: what they do takes longer, and comes later. */
const BUSY = { perSecond: [37, 18], serviceMs: 120, reportMs: 60, wordMs: 60 };

/** And more so. */
const FULL = { perSecond: [30, 15], serviceMs: 250, reportMs: 150, wordMs: 150 };

/** A large service whose requests last long. */
const LARGE = {
  perSecond: [700, 200],
  durationMs: 16_000,
  serviceMs: 340,
  targets: 12,
  others: 12,
};

const failsOnRoute =
  (failing: number) =>
  (run: TrialRun): TrialFate => ({
    failing: run.route === BAD_ROUTE ? failing : 0,
  });

/** All back ends fail for half a second every three. */
const burst = ({ atMs }: TrialRun): TrialFate => ({ failing: atMs % 3_000 < 500 ? 0.3 : 0 });

/** One back end fails much. */
const troubled =
  (name: string) =>
  ({ node }: TrialRun): TrialFate => ({ failing: node === name ? 0.45 : 0 });

const failsWhen =
  (isThen: (run: TrialRun) => boolean, failing = 0.5) =>
  (run: TrialRun) => ({
    failing: isThen(run) ? failing : 0,
  });

const isCrowd = (atMs: number) => atMs > 9_000 && atMs < 9_700;

/** A version that fails a part of one route, or nothing, by the rate and by how late reports come. */
function byRateAndDelay(): RolloutCase[] {
  return RATES.flatMap((rate) =>
    [...SHARES, 0].flatMap((failing) =>
      REPORT_DELAYS_MS.map((reportMs) => ({
        name: `${failing === 0 ? 'good' : `fails ${failing} of one route`}, ${rate}/s, reports ${reportMs} ms late`,
        isBad: failing > 0,
        trial: { perSecond: halves(rate), reportMs, target: failsOnRoute(failing) },
      })),
    ),
  );
}

const good = (name: string, trial: Omit<RolloutTrial, 'seed'>): RolloutCase => ({
  name: `good, ${name}`,
  isBad: false,
  trial,
});

const bad = (name: string, trial: Omit<RolloutTrial, 'seed'>): RolloutCase => ({
  name: `bad, ${name}`,
  isBad: true,
  trial,
});

const noise = () => ({ failing: 0.01 });

export const ROLLOUT_CASES: readonly RolloutCase[] = [
  ...byRateAndDelay(),
  good('all fail 1 in 100', { ...USUAL, target: noise, other: noise }),
  good('a machine of the version in trouble', { ...USUAL, target: troubled('new-0') }),
  good('a machine of the others in trouble', { ...USUAL, other: troubled('old-0') }),
  good('bursts of failures at all back ends', { ...USUAL, target: burst, other: burst }),
  good('three times the requests at the end', { ...USUAL, crowd: (at) => (isCrowd(at) ? 3 : 1) }),
  good('calls to the store 300 ms', { ...USUAL, storeMs: 300 }),
  good('calls to the store 1.2 s', { ...USUAL, storeMs: 1_200 }),
  good('reports and words 200 ms late', { ...USUAL, reportMs: 200, wordMs: 200 }),
  good('one owner of the version unheard', { ...USUAL, isMute: (node) => node === 'new-0' }),
  good('nobody heard for 2 s', { ...USUAL, isMute: (_, at) => at > 4_000 && at < 6_000 }),
  good('four uneven routes', { perSecond: [60, 10, 3, 2] }),
  good('8 s, one route', { perSecond: [160], durationMs: 8_000 }),
  good('2 requests a second', { perSecond: halves(2) }),
  good('on a busy machine', { ...BUSY }),
  good('on a full machine', { ...FULL }),
  good('large service', LARGE),
  bad('under load', {
    ...USUAL,
    target: failsWhen((run) => run.route === BAD_ROUTE && run.phase !== RolloutPhase.Watch),
  }),
  bad('at full load only', {
    ...USUAL,
    target: failsWhen((run) => run.route === BAD_ROUTE && run.phase >= RolloutPhase.Shift),
  }),
  bad('from 8 s on', {
    ...USUAL,
    target: failsWhen(({ route, atMs }) => route === BAD_ROUTE && atMs > 8_000),
  }),
  bad('from 9.3 s on', { ...USUAL, target: failsWhen(({ atMs }) => atMs > 9_300, 1) }),
  bad('half of it eight times slower', {
    ...USUAL,
    target: ({ atMs }) => ({ failing: 0, slowness: Math.floor(atMs / 10) % 2 === 0 ? 1 : 8 }),
  }),
  bad('0.12 of one route, three times the requests at the end', {
    ...USUAL,
    target: failsOnRoute(0.12),
    crowd: (at) => (isCrowd(at) ? 3 : 1),
  }),
  bad('0.12 of one route, a fifth of the requests until 8 s', {
    ...USUAL,
    target: failsOnRoute(0.12),
    crowd: (at) => (at < 8_000 ? 0.2 : 1),
  }),
  bad('half of one rare route of four', {
    perSecond: [60, 10, 3, 2],
    target: failsWhen(({ route }) => route === 2),
  }),
  bad('0.3 of one route on a busy machine', { ...BUSY, target: failsOnRoute(0.3) }),
  bad('0.12 of one route on a busy machine', { ...BUSY, target: failsOnRoute(0.12) }),
  bad('large service, 0.3 of one route', { ...LARGE, target: failsOnRoute(0.3) }),
  bad('large service, 0.05 of one route', { ...LARGE, target: failsOnRoute(0.05) }),
];
