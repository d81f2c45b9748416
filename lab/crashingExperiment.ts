/**
 * What requests that crash back ends cost a mesh: the back ends that they end, and what becomes of the
 * innocent requests beside them. Nine nodes in three zones, in one process, on real sockets.
 */
import {
  type RepeatedRequest,
  runsAfterThirdCrash,
  type SentRequest,
  sendAlways,
} from './crashingTraffic.js';
import { type ExperimentResult, type Row, round } from './experiment.js';
import { SidecarMesh } from './sidecar-mesh.js';

const MACHINES = 9;
const ZONES = 3;
const SERVICE_MS = 40;
const MAX_ATTEMPTS = 3;

/** A mesh knows of the third crash after this time, in milliseconds. */
const CONTACT_MS = 3_000;

/** Innocent requests come so often in each of their two streams, in milliseconds. */
const INNOCENT_EVERY_MS = 20;

export interface CrashingPlan {
  readonly seconds: number;
  readonly seed: number;
  /** Milliseconds from one crashing request to the next, and how many different ones there are. */
  readonly everyMs: number;
  readonly kinds: number;
  /** Milliseconds between crashes of back ends for reasons of their own; 0 for none. */
  readonly ownCrashEveryMs: number;
}

export async function crashingExperiment(plan: CrashingPlan): Promise<ExperimentResult> {
  const mesh = new SidecarMesh();
  try {
    return { experiment: 'crashing', rows: [await measure(mesh, plan)] };
  } finally {
    mesh.close();
  }
}

async function measure(mesh: SidecarMesh, plan: CrashingPlan): Promise<Row> {
  for (let index = 0; index < MACHINES; index += 1) {
    await mesh.add('desk', { zone: `zone-${index % ZONES}` });
  }
  mesh.configure([{ name: 'read', service: 'desk', kind: 'safe', maxAttempts: MAX_ATTEMPTS }]);
  await mesh.settled();
  for (const { application } of mesh.machines) {
    application.serviceMs = SERVICE_MS;
    application.crashesUnder = ({ target }) => target.includes('crash');
  }
  const stopCrashes = crashAlways(mesh, plan.ownCrashEveryMs);
  const streams = await sendAlways(mesh, requestsOf(plan), plan.seconds, plan.seed);
  stopCrashes();
  return rowOf(mesh, plan, streams);
}

/** Back ends that end by themselves, one after the other. */
function crashAlways(mesh: SidecarMesh, everyMs: number): () => void {
  if (everyMs === 0) {
    return () => {};
  }
  let next = 0;
  const timer = setInterval(() => {
    mesh.machines[next % mesh.machines.length]?.application.crash();
    next += 1;
  }, everyMs);
  return () => clearInterval(timer);
}

function requestsOf({ kinds, everyMs }: CrashingPlan): RepeatedRequest[] {
  const crashing = Array.from({ length: kinds }, (_, kind) => ({
    path: () => `/read/crash-${kind}`,
    everyMs,
    crashes: true,
  }));
  return [
    { path: () => '/read/popular', everyMs: INNOCENT_EVERY_MS, crashes: false },
    { path: (index) => `/read/other-${index}`, everyMs: INNOCENT_EVERY_MS, crashes: false },
    ...crashing,
  ];
}

function rowOf(mesh: SidecarMesh, plan: CrashingPlan, streams: readonly SentRequest[][]): Row {
  const runs = mesh.runs();
  const late = Array.from({ length: plan.kinds }, (_, kind) => {
    const own = runs.filter(({ target }) => target === `/read/crash-${kind}`);
    return runsAfterThirdCrash(own, CONTACT_MS).length;
  });
  const innocent = streams.slice(0, 2).flat();
  const counts = countsOf(innocent);
  const isLate = ({ at }: SentRequest) => at > runsFrom(innocent) + plan.seconds * 600;
  const lastOnes = innocent.filter(isLate);
  const served = lastOnes.filter(({ result }) => result.status === 200).length;
  return {
    crashes: mesh.machines.reduce((sum, { application }) => sum + application.crashes.length, 0),
    'crashing runs': runs.filter(({ target }) => target.includes('crash')).length,
    'too late': late.join(' '),
    innocent: innocent.length,
    ...counts,
    'served at the end %': round((served / lastOnes.length) * 100),
  };
}

function runsFrom(sent: readonly SentRequest[]): number {
  return Math.min(...sent.map(({ at }) => at));
}

/** Innocent requests by their end; `quarantined` is a refusal for a crash that they did not cause. */
function countsOf(sent: readonly SentRequest[]): Row {
  const counts: Record<string, number> = { 200: 0, quarantined: 0 };
  for (const { result } of sent) {
    const isOwn = result.status !== 200 && result.body.startsWith('{"error"');
    const end = isOwn ? (JSON.parse(result.body) as { error: string }).error : `${result.status}`;
    counts[end] = (counts[end] ?? 0) + 1;
  }
  return counts;
}
