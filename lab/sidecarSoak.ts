/**
 * A randomized soak of real sidecar processes: faults from outside (signals to the processes,
 * misbehaving back ends, a store in trouble) while clients call and the configuration changes, and
 * the history checked at the end.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { readFleet } from '../src/cli/fleetStatus.js';
import { ApplicationStandIn, type Behaviour } from './application-stand-in.js';
import { CONFIGURATION_KIND, CONFIGURATION_NAME } from './labOutside.js';
import { MemoryStore, StoreView } from './memory-store.js';
import { pickOne, seededRandom } from './random.js';
import { type Sidecar, startSidecars } from './sidecarProcesses.js';
import {
  checkFleet,
  checkSoak,
  type SoakBreach,
  type SoakFleet,
  type SoakRequest,
  type SoakRun,
} from './sidecarSoakCheck.js';
import { configurationOf, MAX_ATTEMPTS, SERVICES, send } from './soakTraffic.js';
import { StoreFault, type StoreWays, strikeStore } from './storeFaults.js';
import { openStoreWay, type StoreWay } from './storeServer.js';

const MILLISECONDS_PER_SECOND = 1_000;
const ZONES = ['zone-a', 'zone-b'];
const NODES = 6;
const SLOTS = 6;
/** What the nodes are told of their links: large bodies then go in many small chunks. */
const LINK_MBPS = 3.5;
const SERVICE_MS = 30;
const CLIENTS = 24;
const HEARTBEAT_MS = 500;
/** Requests that follow the last fault. */
const RECOVERY_MS = 4_000;
/** The mesh has come back to itself after this time without faults. */
const SETTLE_MS = 6_000;
const LONGEST_PAUSE_MS = 1_500;
const SLOWER = 6;
const BODY_BYTES = [0, 300, 60_000, 2_000_000];
const BEHAVIOURS: readonly Behaviour[] = [
  'reset',
  'stay-silent',
  'turn-away',
  'answer-another',
  'cut-short',
  'answer-early',
];

/** What a soak is told. */
export interface SidecarSoakPlan {
  readonly seed: number;
  /** Length of the part with faults. */
  readonly seconds: number;
}

/** What a soak has found. */
export interface SidecarSoakResult {
  readonly seed: number;
  readonly faults: Readonly<Record<string, number>>;
  readonly requests: number;
  readonly runs: number;
  readonly statuses: Readonly<Record<string, number>>;
  readonly breaches: readonly SoakBreach[];
}

/** Faults, each of which ends by itself. */
enum Fault {
  Kill = 'kill',
  Freeze = 'freeze',
  Stop = 'planned stop',
  Misbehave = 'back end misbehaves',
  Slow = 'back end is slow',
  KillAll = 'all killed at once',
  Configuration = 'configuration changes',
}

/** Everything that may strike. */
const FAULTS: readonly (Fault | StoreFault)[] = [
  ...Object.values(Fault),
  ...Object.values(StoreFault),
];

/** Runs the soak; it ends by itself. */
export async function sidecarSoak(
  plan: SidecarSoakPlan,
  say: (text: string) => void,
): Promise<SidecarSoakResult> {
  say(`soak: seed ${plan.seed}`);
  const folder = mkdtempSync(join(tmpdir(), 'spindlepaddle-soak-'));
  const applications = Array.from(
    { length: NODES },
    (_, index) => new ApplicationStandIn(SERVICES[index % SERVICES.length] as string, SLOTS),
  );
  await Promise.all(applications.map((application) => application.start()));
  for (const application of applications) {
    application.serviceMs = SERVICE_MS;
    application.keptBodyBytes = 0;
  }
  const store = new MemoryStore();
  store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, configurationOf(1));
  const ways = await Promise.all(applications.map(() => openStoreWay(store)));
  const sidecars = await startSidecars({
    applications,
    zones: ZONES,
    folder,
    store: (index) => (ways[index] as StoreWay).address,
    nodeFlags: [],
    settings: { linkMbps: LINK_MBPS },
  });
  const heartbeats = setInterval(() => beatAll(sidecars), HEARTBEAT_MS);
  try {
    return await new Soak(plan, sidecars, { store, ways }, say).run();
  } finally {
    clearInterval(heartbeats);
    await Promise.all(sidecars.map(({ process }) => process.kill()));
    for (const closable of [...applications, ...ways]) {
      closable.close();
    }
    rmSync(folder, { recursive: true });
  }
}

function beatAll(sidecars: readonly Sidecar[]): void {
  for (const { application, listen } of sidecars) {
    application.heartbeat(listen.registrations).catch(() => {});
  }
}

class Soak {
  private readonly requests: SoakRequest[] = [];
  private readonly faults = new Map<string, number>();
  private readonly random: () => number;
  private isOver = false;
  private afterFaults = false;
  private version = 1;

  constructor(
    private readonly plan: SidecarSoakPlan,
    private readonly sidecars: readonly Sidecar[],
    private readonly platform: StoreWays,
    private readonly say: (text: string) => void,
  ) {
    this.random = seededRandom(plan.seed);
  }

  async run(): Promise<SidecarSoakResult> {
    await pause(SETTLE_MS);
    const clients = Array.from({ length: CLIENTS }, (_, index) => this.callAlways(index));
    const until = performance.now() + this.plan.seconds * MILLISECONDS_PER_SECOND;
    while (performance.now() < until) {
      const fault = pickOne(FAULTS, this.random);
      this.faults.set(fault, (this.faults.get(fault) ?? 0) + 1);
      await this.strike(fault);
      await pause(this.random() * LONGEST_PAUSE_MS);
    }
    await pause(SETTLE_MS);
    this.afterFaults = true;
    await pause(RECOVERY_MS);
    this.isOver = true;
    await Promise.all(clients);
    return this.result(await this.fleet());
  }

  /** What every node has in force, by the records that the store still holds. */
  private async fleet(): Promise<SoakFleet> {
    const result = await readFleet(new StoreView(this.platform.store));
    const nodes = result.kind === 'known' ? result.nodes : [];
    return {
      newest: this.version,
      nodes: this.sidecars.map(({ name }) => ({
        name,
        version: nodes.find(({ node }) => node === name)?.version,
      })),
    };
  }

  private async strike(fault: Fault | StoreFault): Promise<void> {
    const sidecar = pickOne(this.sidecars, this.random);
    this.say(`soak: ${fault} at ${sidecar.name}`);
    const forMs = this.random() * LONGEST_PAUSE_MS;
    const { application } = sidecar;
    switch (fault) {
      case Fault.Kill:
        await sidecar.process.kill();
        await pause(forMs);
        await sidecar.restart();
        return;
      case Fault.Freeze:
        sidecar.process.signal('SIGSTOP');
        await pause(forMs);
        sidecar.process.signal('SIGCONT');
        return;
      case Fault.Stop:
        await sidecar.process.stop();
        await sidecar.restart();
        return;
      case Fault.Misbehave: {
        const behaviour = pickOne(BEHAVIOURS, this.random);
        application.behaviours.push(...Array<Behaviour>(SLOTS).fill(behaviour));
        return;
      }
      case Fault.Slow:
        application.serviceMs = SERVICE_MS * SLOWER;
        await pause(forMs);
        application.serviceMs = SERVICE_MS;
        return;
      case Fault.KillAll:
        await Promise.all(this.sidecars.map(({ process }) => process.kill()));
        await Promise.all(this.sidecars.map((each) => each.restart()));
        return;
      case Fault.Configuration:
        this.version += 1;
        this.platform.store.put(
          CONFIGURATION_KIND,
          CONFIGURATION_NAME,
          configurationOf(this.version),
        );
        return;
      default:
        await strikeStore(this.platform, fault, forMs, this.random);
    }
  }

  /** One client: it calls, and does not ask again. */
  private async callAlways(client: number): Promise<void> {
    for (let index = 0; !this.isOver; index += 1) {
      const id = `soak-${client}-${index}`;
      const repeatable = this.random() < 0.5;
      const bodyBytes = repeatable ? 0 : pickOne(BODY_BYTES, this.random);
      const service = pickOne(SERVICES, this.random);
      const entry = pickOne(this.sidecars, this.random);
      const { afterFaults } = this;
      const { status, answer } = await send({
        address: entry.listen.clients,
        path: `/${service}-${repeatable ? 'safe' : 'unsafe'}/${id}`,
        id,
        method: repeatable ? 'GET' : 'POST',
        bodyBytes,
      });
      this.requests.push({ id, repeatable, bodyBytes, status, answer, afterFaults });
      await pause(status === 0 ? HEARTBEAT_MS : SERVICE_MS);
    }
  }

  private result(fleet: SoakFleet): SidecarSoakResult {
    const runs: SoakRun[] = this.sidecars.flatMap(({ application }) =>
      application.runs.map(({ requestId, bodyBytes, method }) => ({
        id: requestId,
        bodyBytes,
        hasReadBody: bodyBytes > 0 || method === 'GET',
      })),
    );
    const statuses: Record<string, number> = {};
    for (const { status } of this.requests) {
      statuses[status] = (statuses[status] ?? 0) + 1;
    }
    return {
      seed: this.plan.seed,
      faults: Object.fromEntries(this.faults),
      requests: this.requests.length,
      runs: runs.length,
      statuses,
      breaches: [...checkSoak(this.requests, runs, MAX_ATTEMPTS), ...checkFleet(fleet)],
    };
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
