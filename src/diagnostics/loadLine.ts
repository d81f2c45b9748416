/**
 * What a node has spent and sent lately, in one log line every few seconds: where a link or a
 * processor is full, these lines tell with what.
 */
import type { DecisionLog } from './decision-log.js';

/** Time that one line tells of, in milliseconds: short beside a minute, long beside the cost of a line. */
const LINE_INTERVAL_MS = 5_000;

const MICROSECONDS_PER_MILLISECOND = 1_000;

type Sums = Record<string, number>;

/** Adds up; runs until stopped. */
export interface LoadLine {
  /** Bytes sent to other nodes, by kind of message. */
  noteSent(message: string, bytes: number): void;
  /** Bytes received from the store, by kind of object. */
  noteReceived(kind: string, bytes: number): void;
  /** Bytes of answers to nodes that read by way of this one, by kind of object. */
  noteRelayed(kind: string, bytes: number): void;
  /** Another node has said its first word on an offer, or answered a ping, after so many milliseconds. */
  noteReply(tookMs: number): void;
  stop(): void;
}

export function startLoadLine(log: DecisionLog): LoadLine {
  let sent: Sums = {};
  let received: Sums = {};
  let relayed: Sums = {};
  let longestReplyMs = 0;
  let cpu = process.cpuUsage();
  const add = (sums: Sums, name: string, bytes: number) => {
    sums[name] = (sums[name] ?? 0) + bytes;
  };
  const timer = setInterval(() => {
    const spent = process.cpuUsage(cpu);
    log.event('load', {
      sent,
      received,
      relayed,
      longestReplyMs: Math.round(longestReplyMs),
      cpuMs: Math.round((spent.user + spent.system) / MICROSECONDS_PER_MILLISECOND),
    });
    sent = {};
    received = {};
    relayed = {};
    longestReplyMs = 0;
    cpu = process.cpuUsage();
  }, LINE_INTERVAL_MS);
  timer.unref();
  return {
    noteSent: (message, bytes) => add(sent, message, bytes),
    noteReceived: (kind, bytes) => add(received, kind, bytes),
    noteRelayed: (kind, bytes) => add(relayed, kind, bytes),
    noteReply: (tookMs) => {
      longestReplyMs = Math.max(longestReplyMs, tookMs);
    },
    stop: () => clearInterval(timer),
  };
}
