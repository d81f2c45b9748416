/**
 * A randomized soak of real sidecar processes: faults from outside (signals to the processes,
 * misbehaving back ends, a store in trouble) while clients call and the configuration changes, and
 * the history checked at the end. Faults come in series and overlap; after each series the
 * configuration changes once more, and must be in force on every node in time.
 */

import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { readFleet } from '../src/cli/fleetStatus.js';
import { ApplicationStandIn, LONGEST_DOWN_MS } from './application-stand-in.js';
import { MemoryStore, StoreView } from './memory-store.js';
import { pickOne, seededRandom } from './random.js';
import { type Sidecar, startSidecars } from './sidecarProcesses.js';
import {
  checkCrashing,
  checkFleet,
  checkSoak,
  type SoakBreach,
  type SoakFleet,
  type SoakRun,
  type Span,
} from './sidecarSoakCheck.js';
import { createSoakClients, type SoakClients } from './soakClients.js';
import {
  APPLY_MS,
  CONTACT_MS,
  createSoakConfigurations,
  type SoakConfigurations,
} from './soakConfigurations.js';
import {
  type CrashingClients,
  createCrashingClients,
  isCrashing,
  openSpan,
} from './soakCrashing.js';
import { createFaultInjector, FAULTS, type Fault, type FaultInjector } from './soakFaults.js';
import { MAX_ATTEMPTS, SERVICES } from './soakTraffic.js';
import { StoreFault, type StoreWays } from './storeFaults.js';
import { openStoreWay, type StoreWay } from './storeServer.js';

const MILLISECONDS_PER_SECOND = 1_000;
const ZONES = ['zone-a', 'zone-b'];
const DEFAULT_NODES = 6;
const SLOTS = 6;
/** What the nodes are told of their links: large bodies then go in many small chunks. */
const LINK_MBPS = 3.5;
const SERVICE_MS = 30;
const HEARTBEAT_MS = 500;
/** Requests that follow the last fault. */
const RECOVERY_MS = 4_000;
/** The mesh has come back to itself after this time without faults. */
const SETTLE_MS = 6_000;
/** Faults of one series, at the most, and the longest time between two of them in milliseconds. */
const LONGEST_SERIES = 6;
const LONGEST_GAP_MS = 700;
/** Part of the series that end with it: what follows is late if nothing finds the silence out. */
const SILENCE_SHARE = 0.5;

/** What a soak is told. */
export interface SidecarSoakPlan {
  readonly seed: number;
  /** Length of the part with faults. */
  readonly seconds: number;
  /** Sidecars, each beside a back end; 6 if left out. */
  readonly nodes?: number;
}

/** What a soak has found. */
export interface SidecarSoakResult {
  readonly seed: number;
  readonly faults: Readonly<Record<string, number>>;
  readonly requests: number;
  readonly runs: number;
  /** Back ends that a request has crashed. */
  readonly crashes: number;
  readonly statuses: Readonly<Record<string, number>>;
  readonly breaches: readonly SoakBreach[];
}

/** Runs the soak; it ends by itself. */
export async function sidecarSoak(
  plan: SidecarSoakPlan,
  say: (text: string) => void,
): Promise<SidecarSoakResult> {
  say(`soak: seed ${plan.seed}`);
  const folder = mkdtempSync(join(tmpdir(), 'spindlepaddle-soak-'));
  const applications = Array.from(
    { length: plan.nodes ?? DEFAULT_NODES },
    (_, index) => new ApplicationStandIn(SERVICES[index % SERVICES.length] as string, SLOTS),
  );
  await Promise.all(applications.map((application) => application.start()));
  for (const application of applications) {
    application.serviceMs = SERVICE_MS;
    application.keptBodyBytes = 0;
  }
  const store = new MemoryStore();
  const random = seededRandom(plan.seed);
  const configurations = createSoakConfigurations(store, random);
  const ways = await Promise.all(applications.map(() => openStoreWay(store)));
  const sidecars = await startSidecars({
    applications,
    zones: ZONES,
    folder,
    store: (index) => (ways[index] as StoreWay).address,
    nodeFlags: [],
    settings: { linkMbps: LINK_MBPS, configurationApplyMs: APPLY_MS },
  });
  const heartbeats = setInterval(() => beatAll(sidecars), HEARTBEAT_MS);
  try {
    return await new Soak({
      plan,
      sidecars,
      platform: { store, ways },
      configurations,
      random,
      say,
    }).run();
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
  for (const { application, listen } of sidecars.filter((each) => each.application.isListening)) {
    application.heartbeat(listen.registrations).catch(() => {});
  }
}

/** What a soak works with. */
interface SoakParts {
  readonly plan: SidecarSoakPlan;
  readonly sidecars: readonly Sidecar[];
  readonly platform: StoreWays;
  readonly configurations: SoakConfigurations;
  /** Of the schedule, which no client may draw from: how many calls they make depends on the machine. */
  readonly random: () => number;
  readonly say: (text: string) => void;
}

class Soak {
  private readonly faults = new Map<string, number>();
  private readonly random: () => number;
  private readonly injector: FaultInjector;
  private readonly clients: SoakClients;
  private readonly crashing: CrashingClients;
  /** When faults were under way. */
  private readonly spans: Span[] = [];

  constructor(private readonly parts: SoakParts) {
    const { plan, sidecars, platform, configurations, random, say } = parts;
    this.random = random;
    this.clients = createSoakClients(sidecars, seededRandom(plan.seed + 1));
    this.crashing = createCrashingClients(sidecars, seededRandom(plan.seed + 2));
    this.injector = createFaultInjector({
      sidecars,
      platform,
      serviceMs: SERVICE_MS,
      slots: SLOTS,
      changeConfiguration: configurations.change,
      random,
      say,
    });
  }

  async run(): Promise<SidecarSoakResult> {
    const { plan, sidecars, configurations } = this.parts;
    await pause(SETTLE_MS);
    const clients = this.clients.run();
    const crashing = this.crashing.run();
    const until = performance.now() + plan.seconds * MILLISECONDS_PER_SECOND;
    while (performance.now() < until) {
      await this.strikeSeries();
      await configurations.checkChange(sidecars);
    }
    // Back ends that a request has ended, as it is granted to, are back when the recovery is looked at.
    await pause(SETTLE_MS - LONGEST_DOWN_MS);
    this.crashing.stop();
    await pause(LONGEST_DOWN_MS);
    this.clients.noteFaultsOver();
    await pause(RECOVERY_MS);
    this.clients.stop();
    await Promise.all([clients, crashing]);
    return this.result(await this.fleet());
  }

  /** What every node has in force, by the records that the store still holds. */
  private async fleet(): Promise<SoakFleet> {
    const { platform, configurations, sidecars } = this.parts;
    const result = await readFleet(new StoreView(platform.store));
    const nodes = result.kind === 'known' ? result.nodes : [];
    return {
      newest: configurations.version,
      nodes: sidecars.map(({ name }) => ({
        name,
        version: nodes.find(({ node }) => node === name)?.version,
      })),
    };
  }

  /** Faults that begin one after the other, whether or not those before are over. */
  private async strikeSeries(): Promise<void> {
    const length = 1 + Math.floor(this.random() * LONGEST_SERIES);
    const underWay: Promise<void>[] = [];
    for (let index = 0; index < length; index += 1) {
      underWay.push(this.strike(pickOne(FAULTS, this.random)));
      await pause(this.random() * LONGEST_GAP_MS);
    }
    await Promise.all(underWay);
    if (this.random() < SILENCE_SHARE) {
      await this.strike(StoreFault.ConnectionsSilent);
    }
  }

  private async strike(fault: Fault | StoreFault): Promise<void> {
    this.faults.set(fault, (this.faults.get(fault) ?? 0) + 1);
    const span = openSpan();
    this.spans.push(span);
    await this.injector.strike(fault);
    span.until = performance.now();
  }

  private result(fleet: SoakFleet): SidecarSoakResult {
    const { plan, sidecars, configurations } = this.parts;
    const { requests } = this.clients;
    const runs: SoakRun[] = sidecars.flatMap(({ application }) =>
      application.runs
        .filter((run) => !isCrashing(run))
        .map(({ requestId, bodyBytes, method }) => ({
          id: requestId,
          bodyBytes,
          hasReadBody: bodyBytes > 0 || method === 'GET',
        })),
    );
    const statuses: Record<string, number> = {};
    for (const { status } of requests) {
      statuses[status] = (statuses[status] ?? 0) + 1;
    }
    return {
      seed: plan.seed,
      faults: Object.fromEntries(this.faults),
      requests: requests.length,
      runs: runs.length,
      crashes: sidecars.reduce((sum, each) => sum + each.application.crashes.length, 0),
      statuses,
      breaches: [
        ...checkSoak(requests, runs, MAX_ATTEMPTS),
        ...configurations.late,
        ...checkFleet(fleet),
        ...checkCrashing(this.crashing.runs(), this.spans, CONTACT_MS),
      ],
    };
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
