/** Lektorka's mesh in real processes: a store over HTTP, sidecars in four zones, their back ends. */
import http from 'node:http';
import { PlatformStore } from '../platform/store-client.js';
import { runCli } from '../src/cli/runCli.js';
import { DEFAULT_HEADER_NAMES as NAMES } from '../src/owner/header-names.js';
import { ApplicationStandIn } from './application-stand-in.js';
import { labOperatorOutside } from './labOutside.js';
import { MemoryStore } from './memory-store.js';
import { type Sidecar, startSidecars } from './sidecarProcesses.js';
import { openStoreWay, type StoreWay } from './storeServer.js';

const ZONES = ['lozenets', 'mladost', 'druzhba', 'studentski'];
const REGION = 'sofia';
const HOST = 'lectures.example';
/** Two back ends of each service in the mesh, one of them in each zone. */
const SERVICES = ['members-desk', 'media-vault', 'media-vault', 'members-desk'];
const SLOTS = 6;
const HEARTBEAT_MS = 500;
const POLL_MS = 50;
const READY_LIMIT_MS = 20_000;
const DEADLINE_MS = 5_000;

/** One request of each kind of traffic that Lektorka named. */
const TRAFFIC = [
  { kind: 'search', method: 'GET', path: '/catalogue/logic' },
  { kind: 'purchase', method: 'POST', path: '/licences/42' },
  { kind: 'upload', method: 'PUT', path: '/seminars/7' },
  { kind: 'background read', method: 'GET', path: '/archive/1998' },
  { kind: 'internal lookup', method: 'GET', path: '/internal/thumbnail' },
] as const;

/** What a client got. */
export interface DemoAnswer {
  /** 0 without a whole answer. */
  readonly status: number;
  readonly tookMs: number;
}

export interface DemoMesh {
  readonly sidecars: readonly [Sidecar, Sidecar, ...Sidecar[]];
  /** The sidecars' ways to the store, in their order, with their faults. */
  readonly ways: readonly StoreWay[];
  readonly traffic: typeof TRAFFIC;
  /** Runs an operator's command and resolves with its exit code. */
  operator(words: readonly string[], write?: (text: string) => void): Promise<number>;
  /** Waits until every sidecar is ready and its back end takes work. */
  untilReady(): Promise<void>;
  send(sidecar: Sidecar, method: string, path: string): Promise<DemoAnswer>;
  close(): Promise<void>;
}

/** `folder` is for the settings of the processes. */
export async function createDemoMesh(folder: string): Promise<DemoMesh> {
  const store = new MemoryStore();
  const operatorWay = await openStoreWay(store);
  const ways = await Promise.all(SERVICES.map(() => openStoreWay(store)));
  const applications = SERVICES.map((service) => new ApplicationStandIn(service, SLOTS));
  await Promise.all(applications.map((application) => application.start()));
  const sidecars = await startSidecars({
    applications,
    zones: ZONES,
    folder,
    store: (index) => (ways[index] as StoreWay).address,
    nodeFlags: [],
    settings: { region: REGION },
  });
  const heartbeats = setInterval(() => {
    for (const { application, listen } of sidecars) {
      // A sidecar that is down hears the next one.
      application.heartbeat(listen.registrations).catch(() => {});
    }
  }, HEARTBEAT_MS);
  let requests = 0;
  const mesh: DemoMesh = {
    sidecars: sidecars as [Sidecar, Sidecar, ...Sidecar[]],
    ways,
    traffic: TRAFFIC,
    operator: (words, write = () => {}) =>
      runCli(words, {
        platform: labOperatorOutside((address) => new PlatformStore(address)),
        write,
        writeError: write,
        defaultStore: operatorWay.address,
      }),
    untilReady: async () => {
      const until = performance.now() + READY_LIMIT_MS;
      for (const { listen, name } of sidecars) {
        while ((await get(listen.readiness, '/ready')) !== 200) {
          if (performance.now() > until) {
            throw new Error(`${name} is not ready`);
          }
          await new Promise((resolve) => setTimeout(resolve, POLL_MS));
        }
      }
      // Nodes that start together for the first time learn of one another a little later.
      for (const { listen, name } of sidecars) {
        while ((await ownersPresent(listen.metrics)) !== sidecars.length) {
          if (performance.now() > until) {
            throw new Error(`${name} does not know every owner`);
          }
          await new Promise((resolve) => setTimeout(resolve, POLL_MS));
        }
      }
    },
    send: ({ listen }, method, path) => {
      requests += 1;
      return send(listen.clients, method, path, `demo-${requests}`);
    },
    close: async () => {
      clearInterval(heartbeats);
      await Promise.all(sidecars.map(({ process }) => process.kill()));
      for (const closable of [...applications, ...ways, operatorWay]) {
        closable.close();
      }
    },
  };
  return mesh;
}

/** Owners that a node would offer work to, by its metrics. */
async function ownersPresent(metricsAddress: string): Promise<number> {
  const text = await fetch(`http://${metricsAddress}/metrics`).then(
    (response) => response.text(),
    () => '',
  );
  return Number(/^spindlepaddle_owners_present (\d+)/m.exec(text)?.[1]);
}

async function get(address: string, path: string): Promise<number> {
  const { status } = await send(address, 'GET', path, 'probe');
  return status;
}

function send(address: string, method: string, path: string, id: string): Promise<DemoAnswer> {
  const startedAt = performance.now();
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const done = (status: number) => resolve({ status, tookMs: performance.now() - startedAt });
    const headers = { host: HOST, [NAMES.requestId]: id, [NAMES.deadline]: String(DEADLINE_MS) };
    const request = http.request({ host, port, method, path, agent: false, headers });
    request.on('error', () => done(0));
    request.on('response', (response) => {
      response.resume();
      response.on('error', () => done(0));
      response.on('end', () => done(response.complete ? (response.statusCode ?? 0) : 0));
    });
    request.end(method === 'GET' ? undefined : 'one licence');
  });
}
