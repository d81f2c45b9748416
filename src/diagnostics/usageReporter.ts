/**
 * Counts a node's traffic and CPU time, so that the cause of a saturated link or processor can be
 * found. Metrics read the sums since the start; a log line every few seconds holds the increase.
 */
import type { DecisionLog } from './decision-log.js';

/**
 * Interval of log lines, in milliseconds. It is well below a minute, and long enough that the cost
 * of a line does not matter.
 */
const LINE_INTERVAL_MS = 5_000;

const MICROSECONDS_PER_MILLISECOND = 1_000;

type Sums = Record<string, number>;

/** Sums of bytes since the start. */
export interface TrafficTotals {
  /** Sent to other nodes, by kind of message. */
  readonly sent: Readonly<Sums>;
  /** Received from the store, by kind of object. */
  readonly received: Readonly<Sums>;
  /** Answers to nodes that read the store through this one, by kind of object. */
  readonly relayed: Readonly<Sums>;
}

/** Sums up usage and writes log lines until stopped. */
export interface UsageReporter {
  readonly totals: TrafficTotals;
  noteSent(message: string, bytes: number): void;
  noteReceived(kind: string, bytes: number): void;
  noteRelayed(kind: string, bytes: number): void;
  /**
   * Called when another node has sent its first response to an offer, or answered a ping, with the
   * time that it took in milliseconds.
   */
  noteReply(durationMs: number): void;
  stop(): void;
}

export function startUsageReporter(log: DecisionLog): UsageReporter {
  const totals = { sent: {} as Sums, received: {} as Sums, relayed: {} as Sums };
  let reported: TrafficTotals = structuredClone(totals);
  let longestReplyMs = 0;
  let cpuAtLastLine = process.cpuUsage();
  const timer = setInterval(() => {
    const cpuUsage = process.cpuUsage(cpuAtLastLine);
    log.event('load', {
      sent: increase(reported.sent, totals.sent),
      received: increase(reported.received, totals.received),
      relayed: increase(reported.relayed, totals.relayed),
      longestReplyMs: Math.round(longestReplyMs),
      cpuMs: Math.round((cpuUsage.user + cpuUsage.system) / MICROSECONDS_PER_MILLISECOND),
    });
    reported = structuredClone(totals);
    longestReplyMs = 0;
    cpuAtLastLine = process.cpuUsage();
  }, LINE_INTERVAL_MS);
  timer.unref();
  return {
    totals,
    noteSent: (message, bytes) => add(totals.sent, message, bytes),
    noteReceived: (kind, bytes) => add(totals.received, kind, bytes),
    noteRelayed: (kind, bytes) => add(totals.relayed, kind, bytes),
    noteReply: (durationMs) => {
      longestReplyMs = Math.max(longestReplyMs, durationMs);
    },
    stop: () => clearInterval(timer),
  };
}

function add(sums: Sums, name: string, bytes: number): void {
  sums[name] = (sums[name] ?? 0) + bytes;
}

/** Returns the increase of each sum; omits those without one. */
function increase(before: Readonly<Sums>, after: Readonly<Sums>): Sums {
  const added = Object.entries(after).map(
    ([name, sum]) => [name, sum - (before[name] ?? 0)] as const,
  );
  return Object.fromEntries(added.filter(([, bytes]) => bytes > 0));
}
