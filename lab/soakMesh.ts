/** The processes of a soak: sidecars in two zones, their back ends, and a way of each to the store. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { ApplicationStandIn } from './application-stand-in.js';
import type { MemoryStore } from './memory-store.js';
import { type Sidecar, startSidecars } from './sidecarProcesses.js';
import { APPLY_MS } from './soakConfigurations.js';
import { SERVICES } from './soakTraffic.js';
import { openStoreWay, type StoreWay } from './storeServer.js';

const ZONES = ['zone-a', 'zone-b'];
export const SLOTS = 6;

/** What the nodes are told of their links: large bodies then go in many small chunks. */
const LINK_MBPS = 3.5;

/** Milliseconds of work on one request; the second back end of each two of a service takes twice that. */
const SERVICE_MS = 30;

const HEARTBEAT_MS = 500;

/** Milliseconds in which requests may still reach a back end that is leaving. */
export const DRAIN_MS = 2_000;

/** The bounds of quotas and of roll-outs, as a deployment may set them. */
export const QUOTA = { windowMs: 5_000, overage: 0.1, slack: 5 };
export const ROLLOUT = { exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000 };

/** A key that was taken away is refused so much later, in milliseconds, by nodes out of touch too. */
export const REVOKE_MS = 5_000;

export interface SoakMesh {
  readonly sidecars: readonly Sidecar[];
  readonly ways: readonly StoreWay[];
  /** Ends the processes. */
  close(): Promise<void>;
}

export async function startSoakMesh(count: number, store: MemoryStore): Promise<SoakMesh> {
  const folder = mkdtempSync(join(tmpdir(), 'spindlepaddle-soak-'));
  const applications = Array.from({ length: count }, (_, index) => applicationOf(index));
  await Promise.all(applications.map((application) => application.start()));
  const ways = await Promise.all(applications.map(() => openStoreWay(store)));
  const sidecars = await startSidecars({
    applications,
    zones: ZONES,
    folder,
    store: (index) => (ways[index] as StoreWay).address,
    nodeFlags: [],
    settings: {
      linkMbps: LINK_MBPS,
      drainMs: DRAIN_MS,
      configurationApplyMs: APPLY_MS,
      quota: QUOTA,
      rollout: ROLLOUT,
      revocation: { isStrict: true, withinMs: REVOKE_MS },
    },
  });
  const heartbeats = setInterval(() => beatAll(sidecars), HEARTBEAT_MS);
  return {
    sidecars,
    ways,
    close: async () => {
      clearInterval(heartbeats);
      await Promise.all(sidecars.map(({ process }) => process.kill()));
      for (const closable of [...applications, ...ways]) {
        closable.close();
      }
      rmSync(folder, { recursive: true });
    },
  };
}

function applicationOf(index: number): ApplicationStandIn {
  const place = Math.floor(index / SERVICES.length);
  const application = new ApplicationStandIn(SERVICES[index % SERVICES.length] as string, SLOTS);
  application.serviceMs = SERVICE_MS * (1 + (place % 2));
  // Every other one of a service comes back under the id that it had.
  application.keepsId = place % 2 === 0;
  application.keptBodyBytes = 0;
  return application;
}

function beatAll(sidecars: readonly Sidecar[]): void {
  for (const { application, listen } of sidecars.filter((each) => each.application.isListening)) {
    application.heartbeat(listen.registrations).catch(() => {});
  }
}
