/** Real sidecar processes beside back ends of this process, all of them at known addresses. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { ApplicationStandIn } from './application-stand-in.js';
import { freePort } from './freePort.js';
import { ProcessHandle } from './process-handle.js';
import type { SidecarPlan, StoreContents } from './sidecarMain.js';

/** Milliseconds from SIGTERM to the end of a sidecar. */
const GRACE_MS = 4_000;

/** Where a sidecar listens. */
export interface SidecarAddresses {
  readonly clients: string;
  readonly peers: string;
  readonly readiness: string;
  readonly registrations: string;
  readonly metrics: string;
}

/** One sidecar, which may be ended and started again. */
export interface Sidecar {
  readonly name: string;
  readonly listen: SidecarAddresses;
  readonly application: ApplicationStandIn;
  process: ProcessHandle;
  /** Starts it again at the same addresses, after its process has ended. */
  restart(): Promise<void>;
}

/** What is started: one sidecar for each back end. */
export interface SidecarsPlan {
  readonly applications: readonly ApplicationStandIn[];
  /** Zones, taken in turn. */
  readonly zones: readonly string[];
  /** A folder for the settings of the processes. */
  readonly folder: string;
  /** The way of each sidecar to a store, or what is in the copy that each of them gets. */
  readonly store: ((index: number) => string) | StoreContents['configuration'];
  readonly nodeFlags: readonly string[];
  /** Settings beside the addresses. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

/** Starts the sidecars and tells each of its back end. */
export async function startSidecars(plan: SidecarsPlan): Promise<Sidecar[]> {
  const { applications, zones, folder } = plan;
  const listens = await Promise.all(applications.map(() => freeAddresses()));
  const records = applications.map((application, index) => ({
    node: `node-${index}`,
    address: (listens[index] as SidecarAddresses).peers,
    zone: zones[index % zones.length] as string,
    service: application.service,
  }));
  const starts = await Promise.allSettled(
    records.map(async (record, index) => {
      const application = applications[index] as ApplicationStandIn;
      const listen = listens[index] as SidecarAddresses;
      const file = join(folder, `${record.node}.json`);
      const settings = {
        node: record.node,
        zone: record.zone,
        service: record.service,
        backEndAddress: application.address,
        listen,
        graceMs: GRACE_MS,
        ...plan.settings,
      };
      const { store } = plan;
      const start = (isFirstStart: boolean) => {
        const told: SidecarPlan = {
          settings: { ...settings, isFirstStart },
          store: typeof store === 'function' ? store(index) : { records, configuration: store },
        };
        writeFileSync(file, JSON.stringify(told));
        return ProcessHandle.start(record.node, 'lab/sidecarMain.js', [file], plan.nodeFlags);
      };
      const sidecar: Sidecar = {
        name: record.node,
        listen,
        application,
        process: await start(true),
        restart: async () => {
          sidecar.process = await start(false);
        },
      };
      await application.heartbeat(listen.registrations);
      return sidecar;
    }),
  );
  return allOrNone(starts);
}

/** Where one has not started, the others are ended: nobody else knows of them. */
async function allOrNone(starts: readonly PromiseSettledResult<Sidecar>[]): Promise<Sidecar[]> {
  const sidecars = starts.flatMap((start) => (start.status === 'fulfilled' ? [start.value] : []));
  const failed = starts.find((start) => start.status === 'rejected');
  if (failed) {
    await Promise.all(sidecars.map(({ process }) => process.kill()));
    throw failed.reason;
  }
  return sidecars;
}

async function freeAddresses(): Promise<SidecarAddresses> {
  const address = async () => `127.0.0.1:${await freePort()}`;
  return {
    clients: await address(),
    peers: await address(),
    readiness: await address(),
    registrations: await address(),
    metrics: await address(),
  };
}
