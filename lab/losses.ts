/**
 * Where requests are lost: the lines of requests in kept decision logs, by route, code and the fate
 * of their last offer, and over time. Logs are sampled (see `droppedLines`), so shares are to be
 * trusted more than counts.
 */
import type { LogLine } from './decisionLogCheck.js';

/** Requests of one route that ended alike. */
export interface LossGroup {
  readonly route: string;
  readonly status: number;
  readonly code: string;
  /** Result of the last offer; `-` when the request was never offered. */
  readonly lastOffer: string;
  readonly requests: number;
  /** Offers of all of them together. */
  readonly offers: number;
  /** Median time until the final answer, in milliseconds. */
  readonly medianMs: number;
}

/** A request that did not end with a success. */
interface LostRequest {
  readonly second: number;
  readonly route: string;
  readonly status: number;
  readonly code: string;
  readonly results: readonly string[];
  readonly durationMs: number;
}

const FIRST_FAILED_STATUS = 400;
const MILLISECONDS_PER_SECOND = 1_000;

/** Groups of lost requests, the largest first. */
export function lossGroups(lines: readonly LogLine[]): LossGroup[] {
  const groups = new Map<string, LostRequest[]>();
  for (const request of lostRequests(lines)) {
    const { route, status, code, results } = request;
    const key = JSON.stringify([route, status, code, results.at(-1) ?? '-']);
    groups.set(key, [...(groups.get(key) ?? []), request]);
  }
  return [...groups.values()]
    .map((requests) => groupOf(requests as [LostRequest, ...LostRequest[]]))
    .sort((left, right) => right.requests - left.requests);
}

function groupOf(requests: readonly [LostRequest, ...LostRequest[]]): LossGroup {
  const [{ route, status, code, results }] = requests;
  const durations = requests.map(({ durationMs }) => durationMs).sort((a, b) => a - b);
  return {
    route,
    status,
    code,
    lastOffer: results.at(-1) ?? '-',
    requests: requests.length,
    offers: requests.reduce((sum, request) => sum + request.results.length, 0),
    medianMs: durations[Math.floor(durations.length / 2)] ?? 0,
  };
}

function lostRequests(lines: readonly LogLine[]): LostRequest[] {
  return lines
    .filter(({ event, status }) => event === 'request' && isLost(Number(status)))
    .map((line) => ({
      second: Math.floor((line.sharedAt ?? line.at) / MILLISECONDS_PER_SECOND),
      route: String(line.route),
      status: Number(line.status),
      code: String(line.code),
      results: (line.offers as { result: string }[]).map(({ result }) => result),
      durationMs: Number(line.durationMs),
    }));
}

function isLost(status: number): boolean {
  return status === 0 || status >= FIRST_FAILED_STATUS;
}

const BAR_WIDTH = 14;
const PLOT_HEIGHT = 200;
const MARGIN = 40;
const LEGEND_LINE = 16;
const COLOURS = ['#4477aa', '#ee6677', '#228833', '#ccbb44', '#66ccee', '#aa3377', '#bbbbbb'];

/** Lost requests in each second by code, as an SVG picture. */
export function lossPlot(lines: readonly LogLine[]): string {
  const lost = lostRequests(lines);
  const codes = [...new Set(lost.map(({ code }) => code))].sort();
  const seconds = lost.map(({ second }) => second);
  const first = seconds.reduce((least, second) => Math.min(least, second), seconds[0] ?? 0);
  const last = seconds.reduce((most, second) => Math.max(most, second), first);
  const counts = countsOf(lost);
  const highest = Math.max(1, ...[...counts.values()].map((of) => sum([...of.values()])));
  const bars: string[] = [];
  for (let second = first; second <= last; second += 1) {
    let top = MARGIN + PLOT_HEIGHT;
    for (const [index, code] of codes.entries()) {
      const height = ((counts.get(second)?.get(code) ?? 0) / highest) * PLOT_HEIGHT;
      top -= height;
      if (height === 0) {
        continue;
      }
      const x = MARGIN + (second - first) * BAR_WIDTH;
      const colour = COLOURS[index % COLOURS.length];
      bars.push(rectangle({ x, y: top, width: BAR_WIDTH - 2, height }, String(colour)));
    }
  }
  const width = 2 * MARGIN + (last - first + 1) * BAR_WIDTH;
  const height = 2 * MARGIN + PLOT_HEIGHT + codes.length * LEGEND_LINE;
  const legend = codes.map((code, index) => {
    const y = MARGIN + PLOT_HEIGHT + MARGIN + index * LEGEND_LINE;
    return `<text x="${MARGIN}" y="${y}" fill="${COLOURS[index % COLOURS.length]}">${code}</text>`;
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-size="12">`,
    `<text x="${MARGIN}" y="20">lost requests a second, from ${first} s; highest ${highest}</text>`,
    ...bars,
    ...legend,
    '</svg>\n',
  ].join('\n');
}

function countsOf(lost: readonly LostRequest[]): Map<number, Map<string, number>> {
  const counts = new Map<number, Map<string, number>>();
  for (const { second, code } of lost) {
    const ofSecond = counts.get(second) ?? new Map<string, number>();
    ofSecond.set(code, (ofSecond.get(code) ?? 0) + 1);
    counts.set(second, ofSecond);
  }
  return counts;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

interface Box {
  readonly x: number;
  readonly y: number;
  readonly width: number;
  readonly height: number;
}

function rectangle({ x, y, width, height }: Box, colour: string): string {
  const size = `width="${width}" height="${height.toFixed(1)}"`;
  return `<rect x="${x}" y="${y.toFixed(1)}" ${size} fill="${colour}"/>`;
}
