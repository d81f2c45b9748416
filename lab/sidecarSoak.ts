/**
 * A randomized soak of real sidecar processes: faults from outside (signals to the processes,
 * misbehaving back ends, a store in trouble) while clients call and the configuration changes, and
 * the history checked at the end. Faults come in series and overlap; after each series the
 * configuration changes once more, and must be in force on every node in time.
 */

import { readFleet } from '../src/cli/fleetStatus.js';
import { LONGEST_DOWN_MS } from './application-stand-in.js';
import { isCallId } from './backEndCalls.js';
import { MemoryStore, StoreView } from './memory-store.js';
import { pickOne, seededRandom } from './random.js';
import type { Sidecar } from './sidecarProcesses.js';
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
import { createDepartingClients, type DepartingClients, isForDeparting } from './soakDepartures.js';
import { createFaultInjector, FAULTS, Fault, type FaultInjector } from './soakFaults.js';
import { DRAIN_MS, QUOTA, REVOKE_MS, ROLLOUT, SLOTS, startSoakMesh } from './soakMesh.js';
import { createSoakNotices, type SoakNotices } from './soakNotices.js';
import { createSoakRollouts, type SoakRollouts } from './soakRollouts.js';
import { checkRollouts, type RolloutHistory } from './soakRolloutsCheck.js';
import { createTenantClients, type TenantClients, tenantRunsOf } from './soakTenants.js';
import { checkQuota, checkRevoked, checkTenants } from './soakTenantsCheck.js';
import { HOT_TENANT, MAIN_TENANT, MAX_ATTEMPTS, SECRET } from './soakTraffic.js';
import { StoreFault, type StoreWays } from './storeFaults.js';

const MILLISECONDS_PER_SECOND = 1_000;
const DEFAULT_NODES = 6;
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
  /** Limits that back ends have named, and back ends that have said that they leave. */
  readonly notices: SoakNotices['counts'];
  /** Requests whose clients left. */
  readonly departures: number;
  /** What became of each order. */
  readonly rollouts: readonly RolloutHistory[];
  readonly breaches: readonly SoakBreach[];
}

/** Runs the soak; it ends by itself. */
export async function sidecarSoak(
  plan: SidecarSoakPlan,
  say: (text: string) => void,
): Promise<SidecarSoakResult> {
  say(`soak: seed ${plan.seed}`);
  const store = new MemoryStore();
  const random = seededRandom(plan.seed);
  const configurations = createSoakConfigurations(store, random);
  const mesh = await startSoakMesh(plan.nodes ?? DEFAULT_NODES, store);
  const { sidecars, ways } = mesh;
  const platform = { store, ways };
  try {
    return await new Soak({ plan, sidecars, platform, configurations, random, say }).run();
  } finally {
    await mesh.close();
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
  private readonly tenants: TenantClients;
  private readonly rollouts: SoakRollouts;
  private readonly notices: SoakNotices;
  private readonly departing: DepartingClients;
  /** When faults were under way. */
  private readonly spans: Span[] = [];
  /** When a node was frozen. */
  private readonly frozen: Span[] = [];

  constructor(private readonly parts: SoakParts) {
    const { plan, sidecars, platform, configurations, random, say } = parts;
    this.random = random;
    this.clients = createSoakClients(sidecars, seededRandom(plan.seed + 1));
    this.crashing = createCrashingClients(sidecars, seededRandom(plan.seed + 2));
    this.tenants = createTenantClients(
      sidecars,
      () => configurations.version,
      seededRandom(plan.seed + 3),
    );
    this.rollouts = createSoakRollouts(
      sidecars.map(({ application }) => application),
      platform.store,
      seededRandom(plan.seed + 4),
    );
    this.notices = createSoakNotices(
      sidecars.map(({ application }) => application),
      { contactMs: CONTACT_MS, drainMs: DRAIN_MS },
      seededRandom(plan.seed + 5),
    );
    this.departing = createDepartingClients(sidecars, seededRandom(plan.seed + 6));
    this.injector = createFaultInjector({
      sidecars,
      platform,
      slots: SLOTS,
      changeConfiguration: configurations.change,
      random,
      say,
    });
  }

  async run(): Promise<SidecarSoakResult> {
    const { plan, sidecars, configurations } = this.parts;
    await pause(SETTLE_MS);
    const clients = [this.clients.run(), this.tenants.run(), this.departing.run()];
    const crashing = this.crashing.run();
    const rollouts = this.rollouts.run();
    const notices = this.notices.run();
    const until = performance.now() + plan.seconds * MILLISECONDS_PER_SECOND;
    while (performance.now() < until) {
      await this.strikeSeries();
      await configurations.checkChange(sidecars);
    }
    this.rollouts.stop();
    this.notices.stop();
    await Promise.all([rollouts, notices]);
    // Back ends that a request has ended, as it is granted to, are back when the recovery is looked at.
    await pause(SETTLE_MS - LONGEST_DOWN_MS);
    this.crashing.stop();
    await pause(LONGEST_DOWN_MS);
    this.clients.noteFaultsOver();
    await pause(RECOVERY_MS);
    this.clients.stop();
    this.tenants.stop();
    this.departing.stop();
    await Promise.all([...clients, crashing]);
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
    if (fault === Fault.Freeze) {
      this.frozen.push(span);
    }
    await this.injector.strike(fault);
    span.until = performance.now();
  }

  private result(fleet: SoakFleet): SidecarSoakResult {
    const { plan, sidecars, configurations } = this.parts;
    const requests = [...this.clients.requests, ...this.tenants.history];
    const tenantRuns = sidecars
      .flatMap(({ application }) => tenantRunsOf(application))
      .filter(({ id }) => !isCallId(id));
    const sent = this.tenants.requests;
    const runs: SoakRun[] = sidecars.flatMap(({ application }) =>
      application.runs
        .filter((run) => !isCrashing(run) && !isForDeparting(run.requestId))
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
      rollouts: this.rollouts.histories,
      notices: this.notices.counts,
      departures: this.departing.departures.length,
      breaches: [
        ...checkSoak(requests, runs, MAX_ATTEMPTS),
        ...configurations.late,
        ...checkFleet(fleet),
        ...checkTenants(sent, tenantRuns, SECRET, MAIN_TENANT),
        ...checkRevoked(sent, tenantRuns, configurations.writtenAt, REVOKE_MS),
        ...this.notices.breaches(),
        ...this.departing.breaches(this.frozen),
        ...checkRollouts(this.rollouts.histories, ROLLOUT),
        ...checkQuota(sent, tenantRuns, { tenant: HOT_TENANT, bounds: QUOTA }),
        ...checkCrashing(this.crashing.runs(), this.spans, CONTACT_MS),
      ],
    };
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
