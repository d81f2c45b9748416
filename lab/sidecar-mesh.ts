/** Sidecars with their back ends in one process, on real sockets, for tests. */

import http from 'node:http';
import { DecisionLog } from '../src/diagnostics/decision-log.js';
import { SidecarMetrics } from '../src/diagnostics/sidecar-metrics.js';
import { endpointOf } from '../src/model/endpoint.js';
import {
  type ClockSources,
  createNodeClocks,
  SYSTEM_CLOCK_SOURCES,
} from '../src/model/nodeClocks.js';
import { DEFAULT_HEADER_NAMES as NAMES } from '../src/owner/header-names.js';
import { SidecarNode } from '../src/sidecar/sidecar-node.js';
import { checkSidecarSettings, type SidecarSettings } from '../src/sidecar/sidecar-settings.js';
import type { ObjectStore } from '../src/source/object-store.js';
import { ApplicationStandIn, type Run } from './application-stand-in.js';
import { CONFIGURATION_KIND, CONFIGURATION_NAME, labOutside } from './labOutside.js';
import { MemoryStore, StoreView } from './memory-store.js';

/** Milliseconds from the beginning of a planned stop to its end, unless a test says otherwise. */
const DEFAULT_GRACE_MS = 4_000;

/** Milliseconds from a version's acknowledgement until it must be in force, unless a test says otherwise. */
const DEFAULT_APPLY_MS = 1_000;

/** Pause between two looks at a condition, in milliseconds. */
const POLL_MS = 10;

/** A route of a test; the rest has defaults. */
export interface TestRoute {
  readonly name: string;
  readonly service: string;
  readonly kind?: 'safe' | 'unsafe' | 'upload';
  readonly timeoutMs?: number;
  readonly targetLatencyMs?: number;
  readonly priority?: number;
  readonly maxAttempts?: number;
  readonly split?: readonly { service: string; weight: number }[];
  readonly policies?: readonly string[];
  readonly credential?: { readonly header: string; readonly secret: string };
  readonly isPublic?: boolean;
}

/** A tenant of a test; the rest has defaults. */
export interface TestTenant {
  readonly name: string;
  readonly apiKeys: readonly string[];
  readonly priority?: number;
  readonly ratePerS?: number;
  readonly burst?: number;
}

/** What a configuration of a test holds beside its routes. */
export interface TestComplements {
  readonly policies?: readonly { readonly name: string; readonly allow: string }[];
  readonly secrets?: readonly { readonly name: string; readonly digest: string }[];
  readonly tenants?: readonly TestTenant[];
}

/** What a test may choose for a machine. */
export interface MachineOptions {
  readonly zone?: string;
  readonly slots?: number;
  readonly graceMs?: number;
  readonly applyMs?: number;
  /** Bounds that the platform holds, see the settings. */
  readonly bounds?: Pick<Partial<SidecarSettings>, 'quota' | 'revocation' | 'rollout'>;
  /** The machine's own client of a store, in place of a call to the store in memory. */
  readonly client?: ObjectStore;
  /** Version of its back end. */
  readonly version?: string;
}

/** One machine: node, back end and way to the store. */
export class Machine {
  private running: SidecarNode | undefined;
  view: StoreView;
  private sleptMs = 0;
  private readonly clockSources: ClockSources = {
    ...SYSTEM_CLOCK_SOURCES,
    timeOfDay: () => SYSTEM_CLOCK_SOURCES.timeOfDay() + this.sleptMs,
    sinceBoot: () => SYSTEM_CLOCK_SOURCES.sinceBoot() + this.sleptMs,
  };
  readonly lines: Record<string, unknown>[] = [];

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly application: ApplicationStandIn,
    private readonly store: MemoryStore,
    private readonly options: MachineOptions,
  ) {
    this.view = new StoreView(store);
  }

  /** The node of a machine that has been started. */
  get node(): SidecarNode {
    if (!this.running) {
      throw new Error(`${this.name} has not been started`);
    }
    return this.running;
  }

  async start(): Promise<void> {
    await this.application.start();
    this.application.onBack = () =>
      void this.application.announce(() => this.node.addresses.registrations);
    this.running = this.create(undefined);
    await this.node.start();
  }

  /** Ends the node at once and starts a new one at the same addresses. */
  async restart(): Promise<void> {
    const { addresses } = this.node;
    this.node.close();
    this.view = new StoreView(this.store);
    this.running = this.create(addresses);
    await this.node.start();
  }

  /** The machine is suspended and wakes: its steady clock has not moved, the others have. */
  suspend(ms: number): void {
    this.sleptMs += ms;
  }

  private create(listen: SidecarNode['addresses'] | undefined): SidecarNode {
    const any = '127.0.0.1:0';
    const settings = checkSidecarSettings({
      node: this.name,
      zone: this.zone,
      service: this.application.service,
      backEndAddress: this.application.address,
      listen: listen ?? { clients: any, peers: any, readiness: any, registrations: any },
      drainMs: 1_000,
      graceMs: this.options.graceMs ?? DEFAULT_GRACE_MS,
      configurationApplyMs: this.options.applyMs ?? DEFAULT_APPLY_MS,
      ...this.options.bounds,
    }).unsafeCoerce();
    const sink = (bytes: Buffer, done: () => void) => {
      for (const line of bytes.toString().trim().split('\n')) {
        this.lines.push(JSON.parse(line) as Record<string, unknown>);
      }
      done();
    };
    const clocks = createNodeClocks(this.clockSources);
    return new SidecarNode(
      settings,
      labOutside(this.options.client ?? this.view),
      clocks,
      new DecisionLog(this.name, () => clocks.clock.now(), sink),
      new SidecarMetrics(),
    );
  }
}

/** A mesh of machines that share one store. */
export class SidecarMesh {
  readonly store = new MemoryStore();
  readonly machines: Machine[] = [];
  private version = 0;

  /** Adds a machine and starts it. */
  async add(service: string, options: MachineOptions = {}): Promise<Machine> {
    const name = `node-${this.machines.length + 1}`;
    const application = new ApplicationStandIn(service, options.slots ?? 4);
    application.version = options.version ?? application.version;
    const machine = new Machine(name, options.zone ?? 'zone-a', application, this.store, options);
    this.machines.push(machine);
    await machine.start();
    return machine;
  }

  /** Writes a configuration with these routes; each has the host `mesh.example` and its name as prefix. */
  configure(routes: readonly TestRoute[], complements: TestComplements = {}): number {
    this.version += 1;
    const services = new Set(
      routes.flatMap((route) => (route.split ?? [route]).map((part) => part.service)),
    );
    this.store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, {
      version: this.version,
      routes: routes.map(({ service, ...route }) => ({
        host: 'mesh.example',
        pathPrefix: `/${route.name}/`,
        kind: 'safe',
        maxAttempts: 2,
        split: [{ service, weight: 1 }],
        ...route,
      })),
      services: [...services].map((name) => ({ name })),
      ...complements,
    });
    return this.version;
  }

  /** Waits until every node is ready, knows every back end and would offer it work. */
  async settled(): Promise<void> {
    for (const machine of this.machines) {
      await waitFor(
        async () =>
          (await machine.application.heartbeat(machine.node.addresses.registrations)) === 200,
      );
      await waitFor(
        async () => (await call(machine.node.addresses.readiness, '/ready')).status === 200,
      );
      await waitFor(() => machine.node.status.backEndReady);
      await waitFor(() => machine.node.status.ownersPresent === this.machines.length);
    }
  }

  /** Everything that any back end has run. */
  runs(): Run[] {
    return this.machines.flatMap((machine) => machine.application.runs);
  }

  close(): void {
    for (const machine of this.machines) {
      machine.node.close();
      machine.application.close();
    }
  }
}

/** Waits for a condition; the test's own time limit bounds it. */
export async function waitFor(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/** What a client got. */
export interface ClientResult {
  /** 0 when the connection ended without an answer. */
  readonly status: number;
  readonly body: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly tookMs: number;
}

/** A client's request. */
export interface ClientCall {
  readonly method?: string;
  readonly headers?: Record<string, string | string[]>;
  readonly body?: string | Buffer;
  readonly requestId?: string;
  readonly deadlineMs?: number;
  /** The client leaves after this time. */
  readonly leaveAfterMs?: number;
}

let requests = 0;

/** Sends one request on a connection of its own. */
export function call(
  address: string,
  path: string,
  options: ClientCall = {},
): Promise<ClientResult> {
  const startedAt = performance.now();
  requests += 1;
  const requestId = options.requestId ?? `request-${requests}`;
  return new Promise((resolve) => {
    const none = (): void =>
      resolve({ status: 0, body: '', headers: {}, tookMs: performance.now() - startedAt });
    const request = http.request({
      ...endpointOf(address),
      path,
      method: options.method ?? 'GET',
      agent: false,
      headers: {
        host: 'mesh.example',
        [NAMES.requestId]: requestId,
        ...(options.deadlineMs === undefined
          ? {}
          : { [NAMES.deadline]: String(options.deadlineMs) }),
        ...options.headers,
      },
    });
    request.on('error', none);
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', none);
      response.on('end', () =>
        resolve({
          status: response.statusCode ?? 0,
          body: Buffer.concat(chunks).toString(),
          headers: response.headers,
          tookMs: performance.now() - startedAt,
        }),
      );
    });
    if (options.leaveAfterMs !== undefined) {
      setTimeout(() => request.destroy(), options.leaveAfterMs);
    }
    request.end(options.body);
  });
}
