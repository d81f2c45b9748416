/**
 * Guards against one request that crashes every back end that starts to run it. A client sends it
 * again and again, each time with another id, to any node; each crash also loses everything else
 * that the back end was running. Two dozen back ends of a service ended in this way one after the
 * other, at times all of them at once, and over minutes the request reached twelve more back ends
 * after its third crash.
 * It happens if nodes keep no record of a request from one attempt to the next and do not report it
 * to each other, and if they retry a lost attempt at once on the next back end. Nodes without these
 * rules send the request on for as long as it arrives; without the request, all others are served.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  type RepeatedRequest,
  runsAfterThirdCrash,
  type SentRequest,
  sendAlways,
} from '../lab/crashingTraffic.js';
import { SidecarMesh } from '../lab/sidecar-mesh.js';

const MACHINES = 9;
const ZONES = 3;

/** Time within which all connected nodes have a report of the third crash, in milliseconds. */
const CONTACT_MS = 3_000;

/** Most runs of a crashing request after that time, over all nodes. */
const ALLOWED_RUNS = 3;

/** Share of the other requests that must be served once the crashing one is quarantined. */
const SERVED_SHARE = 0.97;

/** Share of the traffic, at its end, that is judged: the nodes have settled by then. */
const SETTLED_SHARE = 0.4;

const MARK = 'crash';

let mesh: SidecarMesh;

beforeEach(async () => {
  mesh = new SidecarMesh();
  for (let index = 0; index < MACHINES; index += 1) {
    await mesh.add('desk', { zone: `zone-${index % ZONES}` });
  }
  mesh.configure([
    { name: 'read', service: 'desk', kind: 'safe', maxAttempts: 3 },
    { name: 'buy', service: 'desk', kind: 'unsafe', maxAttempts: 3 },
  ]);
  await mesh.settled();
  for (const { application } of mesh.machines) {
    application.serviceMs = 40;
    application.crashesUnder = ({ target, body }) => `${target} ${body}`.includes(MARK);
  }
});

afterEach(() => mesh.close());

/** Two streams of harmless requests: one repeats the same request, in one all requests differ. */
const HARMLESS: readonly RepeatedRequest[] = [
  { path: () => '/read/popular', everyMs: 20, crashes: false },
  { path: (index) => `/read/other-${index}`, everyMs: 20, crashes: false },
];

/** Number of runs of each crashing request later than {@link CONTACT_MS} after its third crash. */
function lateRuns(marks: readonly string[]): number[] {
  return marks.map((mark) => {
    const runs = mesh.runs().filter(({ target, body }) => `${target} ${body}`.includes(mark));
    return runsAfterThirdCrash(runs, CONTACT_MS).length;
  });
}

/** Share of the requests in the last part of the streams that was served. */
function servedShare(streams: readonly SentRequest[][], seconds: number): number {
  const sent = streams.flat();
  const first = Math.min(...sent.map(({ at }) => at));
  const late = sent.filter(({ at }) => at > first + seconds * 1_000 * (1 - SETTLED_SHARE));
  return late.filter(({ result }) => result.status === 200).length / late.length;
}

/** Sends the crashing and the harmless requests; returns the served share of the harmless ones. */
async function runTraffic(
  crashing: readonly RepeatedRequest[],
  seconds: number,
  meanwhile: () => Promise<void> = async () => {},
): Promise<number> {
  const [streams] = await Promise.all([
    sendAlways(mesh, [...HARMLESS, ...crashing], seconds, 1),
    meanwhile(),
  ]);
  return servedShare(streams.slice(0, HARMLESS.length), seconds);
}

describe('a request that crashes every back end that begins to run it', () => {
  it('runs at most three more times after the third crash, and other requests are served', async () => {
    const crashing = { path: () => `/read/${MARK}`, everyMs: 125, crashes: true };
    const served = await runTraffic([crashing], 15);
    expect(lateRuns([MARK])[0]).toBeLessThanOrEqual(ALLOWED_RUNS);
    expect(served).toBeGreaterThan(SERVED_SHARE);
  });

  it('is recognized by its body too, however that is sent, on a route without repeats', async () => {
    const crashing = {
      path: () => '/buy/desk',
      method: 'POST',
      body: () => `a body with a ${MARK}`,
      everyMs: 125,
      crashes: true,
    };
    const harmless = {
      path: () => '/buy/desk',
      method: 'POST',
      body: (index: number) => `body ${index}`,
      everyMs: 50,
      crashes: false,
    };
    const streams = await sendAlways(mesh, [harmless, crashing], 15, 2);
    expect(lateRuns([MARK])[0]).toBeLessThanOrEqual(ALLOWED_RUNS);
    expect(servedShare(streams.slice(0, 1), 15)).toBeGreaterThan(SERVED_SHARE);
  });

  it('is recognized if there are several, also after all nodes have been restarted', async () => {
    const marks = ['crash-1', 'crash-2', 'crash-3'];
    const crashing = marks.map((mark) => ({
      path: () => `/read/${mark}`,
      everyMs: 333,
      crashes: true,
    }));
    const served = await runTraffic(crashing, 20, async () => {
      await delay(8_000);
      await Promise.all(mesh.machines.map((machine) => machine.restart()));
    });
    expect(Math.max(...lateRuns(marks))).toBeLessThanOrEqual(ALLOWED_RUNS);
    expect(served).toBeGreaterThan(SERVED_SHARE);
  });

  it('is recognized if it arrives only every two seconds', async () => {
    const crashing = { path: () => `/read/${MARK}`, everyMs: 2_000, crashes: true };
    const served = await runTraffic([crashing], 20);
    expect(lateRuns([MARK])[0]).toBeLessThanOrEqual(ALLOWED_RUNS);
    expect(served).toBeGreaterThan(SERVED_SHARE);
  });
});
