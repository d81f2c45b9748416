/**
 * Processor time that sidecars spend on a request: at the owner's own machine, over a hop, and for
 * a refusal; in the first requests of a process and later. Two real processes, their back end and
 * the clients in this one.
 */

import { mkdtempSync, rmSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { endpointOf } from '../src/model/endpoint.js';
import { DEFAULT_HEADER_NAMES as NAMES } from '../src/owner/header-names.js';
import { ApplicationStandIn } from './application-stand-in.js';
import type { ExperimentResult, Row } from './experiment.js';
import { cpuSeconds, type KernelCalls, kernelCalls } from './processor-time.js';
import { type Sidecar, startSidecars } from './sidecarProcesses.js';

const MILLISECONDS_PER_SECOND = 1_000;
const HOST = 'mesh.example';
const SLOTS = 8;
const SERVICE_MS = 5;
/** A back end that is never done, so that what comes after is refused. */
const ENDLESS_MS = 60_000;

/** What the experiment measures. */
export interface CostPlan {
  /** Requests that count as the first ones of a process. */
  readonly cold: number;
  /** Requests after them. */
  readonly warm: number;
  /** Requests under way at once. */
  readonly concurrency: number;
  /** Flags of the runtime for the sidecars, such as `--cpu-prof`. */
  readonly nodeFlags: readonly string[];
}

/** The kinds of request that are measured. */
enum Kind {
  Local = 'owner on the same machine',
  Hop = 'owner on another machine',
  Unsafe = 'the same, not to be repeated',
  Refusal = 'refused busy by another machine',
}

/** Measures every kind with processes of its own. */
export async function costExperiment(
  plan: CostPlan,
  say: (text: string) => void,
): Promise<ExperimentResult> {
  const rows: Row[] = [];
  for (const kind of Object.values(Kind)) {
    say(`cost: ${kind}`);
    rows.push(await measure(kind, plan));
  }
  return { experiment: 'cost', rows };
}

async function measure(kind: Kind, plan: CostPlan): Promise<Row> {
  const folder = mkdtempSync(join(tmpdir(), 'spindlepaddle-cost-'));
  const application = new ApplicationStandIn('desk', SLOTS);
  const idle = new ApplicationStandIn('vault', SLOTS);
  await Promise.all([application.start(), idle.start()]);
  application.serviceMs = kind === Kind.Refusal ? ENDLESS_MS : SERVICE_MS;
  const nodes = await startSidecars({
    applications: [application, idle],
    zones: ['zone-a'],
    folder,
    store: configuration(),
    nodeFlags: plan.nodeFlags,
  });
  await pause(MILLISECONDS_PER_SECOND);
  const entry = nodes[kind === Kind.Local ? 0 : 1] as Sidecar;
  const agent = new http.Agent({ keepAlive: true });
  try {
    const client = { agent, address: entry.listen.clients, isUnsafe: kind === Kind.Unsafe };
    if (kind === Kind.Refusal) {
      for (let index = 0; index < SLOTS; index += 1) {
        void request(client, 'occupied');
      }
      await pause(MILLISECONDS_PER_SECOND);
    }
    const start = spentMs(nodes) / nodes.length;
    const cold = await millisecondsEach(nodes, client, plan.cold, plan.concurrency);
    const before = totalCalls(nodes);
    const warm = await millisecondsEach(nodes, client, plan.warm, plan.concurrency);
    const after = totalCalls(nodes);
    const each = (from: number, to: number) => Number(((to - from) / plan.warm).toFixed(1));
    return {
      request: kind,
      'first, ms of processor': cold,
      'later, ms of processor': warm,
      'later, reads and writes': each(before.transfers, after.transfers),
      'later, wake-ups': each(before.wakeUps, after.wakeUps),
      'start of a process, ms': start,
    };
  } finally {
    agent.destroy();
    await Promise.all(nodes.map((node) => node.process.stop()));
    application.close();
    idle.close();
    rmSync(folder, { recursive: true });
  }
}

function configuration() {
  const route = {
    host: HOST,
    pathPrefix: '/',
    maxAttempts: 2,
    timeoutMs: ENDLESS_MS,
    targetLatencyMs: 500,
    split: [{ service: 'desk', weight: 1 }],
  };
  return {
    version: 1,
    routes: [
      { ...route, name: 'read', kind: 'safe' },
      { ...route, name: 'grant', kind: 'unsafe', pathPrefix: '/unsafe/' },
      { ...route, name: 'occupied', kind: 'safe', pathPrefix: '/occupied/', priority: 0 },
    ],
    services: [{ name: 'desk' }],
  };
}

interface Client {
  readonly agent: http.Agent;
  readonly address: string;
  readonly isUnsafe: boolean;
}

/** Processor time of all nodes for each of `count` requests, in milliseconds. */
async function millisecondsEach(
  nodes: readonly Sidecar[],
  client: Client,
  count: number,
  concurrency: number,
): Promise<number> {
  const before = spentMs(nodes);
  let left = count;
  const work = async () => {
    while (left > 0) {
      left -= 1;
      await request(client, client.isUnsafe ? 'unsafe' : 'read');
    }
  };
  await Promise.all(Array.from({ length: concurrency }, work));
  return Number(((spentMs(nodes) - before) / count).toFixed(3));
}

/** Processor time that the processes have used so far, in milliseconds. */
function spentMs(nodes: readonly Sidecar[]): number {
  const seconds = nodes.map(({ process }) => cpuSeconds(process.child.pid as number));
  return seconds.reduce((sum, each) => sum + each, 0) * MILLISECONDS_PER_SECOND;
}

/** Of all nodes together. */
function totalCalls(nodes: readonly Sidecar[]): KernelCalls {
  const all = nodes.map(({ process }) => kernelCalls(process.child.pid as number));
  return {
    transfers: all.reduce((sum, { transfers }) => sum + transfers, 0),
    wakeUps: all.reduce((sum, { wakeUps }) => sum + wakeUps, 0),
  };
}

let requests = 0;

function request({ agent, address, isUnsafe }: Client, path: string): Promise<void> {
  requests += 1;
  return new Promise((resolve) => {
    const call = http.request({
      ...endpointOf(address),
      path: `/${path}/${requests}`,
      method: isUnsafe ? 'POST' : 'GET',
      agent,
      headers: { host: HOST, [NAMES.requestId]: `cost-${requests}`, [NAMES.deadline]: '2500' },
    });
    call.on('error', () => resolve());
    call.on('response', (response) => {
      response.resume();
      response.on('end', resolve);
    });
    call.end(isUnsafe ? Buffer.alloc(300) : undefined);
  });
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
