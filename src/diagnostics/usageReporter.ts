/**
 * What a node spends and sends: where a link or a processor is full, this tells with what. As sums
 * since the start for metrics, and in one log line every few seconds.
 */
import type { DecisionLog } from './decision-log.js';

/** Time that one line tells of, in milliseconds: short beside a minute, long beside the cost of a line. */
const LINE_INTERVAL_MS = 5_000;

const MICROSECONDS_PER_MILLISECOND = 1_000;

type Sums = Record<string, number>;

/** Bytes since the start. */
export interface TrafficTotals {
  /** Sent to other nodes, by kind of message. */
  readonly sent: Readonly<Sums>;
  /** Received from the store, by kind of object. */
  readonly received: Readonly<Sums>;
  /** Answers to nodes that read by way of this one, by kind of object. */
  readonly relayed: Readonly<Sums>;
}

/** Adds up; runs until stopped. */
export interface UsageReporter {
  readonly totals: TrafficTotals;
  noteSent(message: string, bytes: number): void;
  noteReceived(kind: string, bytes: number): void;
  noteRelayed(kind: string, bytes: number): void;
  /** Another node has said its first word on an offer, or answered a ping, after so many milliseconds. */
  noteReply(tookMs: number): void;
  stop(): void;
}

export function startUsageReporter(log: DecisionLog): UsageReporter {
  const totals = { sent: {} as Sums, received: {} as Sums, relayed: {} as Sums };
  let told: TrafficTotals = structuredClone(totals);
  let longestReplyMs = 0;
  let cpu = process.cpuUsage();
  const timer = setInterval(() => {
    const spent = process.cpuUsage(cpu);
    log.event('load', {
      sent: since(told.sent, totals.sent),
      received: since(told.received, totals.received),
      relayed: since(told.relayed, totals.relayed),
      longestReplyMs: Math.round(longestReplyMs),
      cpuMs: Math.round((spent.user + spent.system) / MICROSECONDS_PER_MILLISECOND),
    });
    told = structuredClone(totals);
    longestReplyMs = 0;
    cpu = process.cpuUsage();
  }, LINE_INTERVAL_MS);
  timer.unref();
  return {
    totals,
    noteSent: (message, bytes) => add(totals.sent, message, bytes),
    noteReceived: (kind, bytes) => add(totals.received, kind, bytes),
    noteRelayed: (kind, bytes) => add(totals.relayed, kind, bytes),
    noteReply: (tookMs) => {
      longestReplyMs = Math.max(longestReplyMs, tookMs);
    },
    stop: () => clearInterval(timer),
  };
}

function add(sums: Sums, name: string, bytes: number): void {
  sums[name] = (sums[name] ?? 0) + bytes;
}

/** What has been added meanwhile. */
function since(before: Readonly<Sums>, after: Readonly<Sums>): Sums {
  const added = Object.entries(after).map(
    ([name, sum]) => [name, sum - (before[name] ?? 0)] as const,
  );
  return Object.fromEntries(added.filter(([, bytes]) => bytes > 0));
}
