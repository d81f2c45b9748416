/**
 * Ways to keep a back end within the limit that it names, in virtual time: requests come to nodes
 * unevenly, and only the counting differs. Each row gives the fullest window of 4 s against what the
 * users' rule allows, and the share of the limit that was used.
 */
import { createBackEndLimit } from '../src/owner/backEndLimit.js';
import { createTokenBucket } from '../src/tenants/tokenBucket.js';
import { seededRandom } from './random.js';

const NODES = 12;
const REQUESTS_PER_S = 40;
const SECONDS = 600;
const WINDOW_MS = 4_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Limits in requests per second. */
const LIMITS = [0.25, 2.4, 5.3, 20];

/** Node `n` gets a share of the requests in proportion to 1 / (n + 1). */
const SHARES = Array.from({ length: NODES }, (_, node) => 1 / (node + 1));
const SHARE_SUM = SHARES.reduce((sum, share) => sum + share, 0);

/** True if the request that node `node` has at `now` is sent. */
type Way = (node: number, now: number) => boolean;

/** The ways, by name; each starts anew for a limit. */
const WAYS: Readonly<Record<string, (limit: number) => Way>> = {
  'one bucket beside the back end': (perSecond) => {
    const limit = createBackEndLimit();
    limit.note(perSecond, 0);
    return (_node, now) => {
      const mayStart = limit.waitMs(0, now) === 0;
      if (mayStart) {
        limit.take(now);
      }
      return mayStart;
    };
  },
  'the same without a burst': (perSecond) => {
    const bucket = bucketOf(perSecond);
    return (_node, now) => bucket.take(1, now) === 1;
  },
  'an equal part at each ingress': (perSecond) => {
    const buckets = SHARES.map(() => bucketOf(perSecond / NODES));
    return (node, now) => buckets[node]?.take(1, now) === 1;
  },
  'the whole limit at each ingress': (perSecond) => {
    const buckets = SHARES.map(() => bucketOf(perSecond));
    return (node, now) => buckets[node]?.take(1, now) === 1;
  },
};

/** One row of the result. */
export interface LimitTrialRow {
  readonly way: string;
  readonly limitPerS: number;
  readonly fullestWindow: number;
  readonly allowed: number;
  /** Requests sent, as a share of what the limit allows; 1 and a little more is the whole. */
  readonly used: number;
}

export function limitTrial(seed: number): LimitTrialRow[] {
  return Object.entries(WAYS).flatMap(([way, create]) =>
    LIMITS.map((limitPerS) => {
      const sent = sentTimes(create(limitPerS), seededRandom(seed));
      return {
        way,
        limitPerS,
        fullestWindow: fullestWindow(sent),
        allowed: 1.5 * limitPerS * (WINDOW_MS / MILLISECONDS_PER_SECOND) + 5,
        used: Math.round((100 * sent.length) / (limitPerS * SECONDS)) / 100,
      };
    }),
  );
}

function bucketOf(perSecond: number) {
  return createTokenBucket({ tokensPerMs: perSecond / MILLISECONDS_PER_SECOND, depth: 1 }, 1, 0);
}

/** Requests come at random times at an even mean rate. */
function sentTimes(isSent: Way, random: () => number): number[] {
  const sent: number[] = [];
  const meanGapMs = MILLISECONDS_PER_SECOND / REQUESTS_PER_S;
  for (let now = 0; now < SECONDS * MILLISECONDS_PER_SECOND; ) {
    now -= Math.log(1 - random()) * meanGapMs;
    if (isSent(drawNode(random), now)) {
      sent.push(now);
    }
  }
  return sent;
}

function drawNode(random: () => number): number {
  let rest = random() * SHARE_SUM;
  const node = SHARES.findIndex((share) => {
    rest -= share;
    return rest < 0;
  });
  return Math.max(0, node);
}

function fullestWindow(times: readonly number[]): number {
  let from = 0;
  let most = 0;
  for (const [index, at] of times.entries()) {
    while ((times[from] ?? at) <= at - WINDOW_MS) {
      from += 1;
    }
    most = Math.max(most, index - from + 1);
  }
  return most;
}
