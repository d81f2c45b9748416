/**
 * Tenants' quotas on this node: grants from the quota parts that it holds, requests to the holders
 * of other parts, and the gate that admits requests.
 */
import type { OwnerDirectory } from '../directory/owner-directory.js';
import { createQuotaMembers } from '../directory/quotaMembers.js';
import type { Clock } from '../model/clock.js';
import type { PooledPeerClient } from '../peer/pooledPeerClient.js';
import type { RouteMatcher } from '../routing/route-matcher.js';
import { createQuotaGate, type QuotaGate } from '../tenants/quotaGate.js';
import { GRANT_LIFETIME_MS, type QuotaMember } from '../tenants/quotaParts.js';
import { createQuotaPool, type QuotaGrant } from '../tenants/quotaPool.js';
import type { SidecarSettings } from './sidecar-settings.js';

/** Interval between two checks for nodes that have joined or left, in milliseconds. */
const REFRESH_MS = 500;

/** Dependencies on the node. */
export interface QuotaPartContext {
  readonly settings: () => SidecarSettings;
  readonly clock: Clock;
  readonly directory: OwnerDirectory;
  readonly reads: PooledPeerClient;
  readonly routes: () => RouteMatcher | undefined;
  /**
   * True once the directory holds the other nodes. With a directory that holds only itself, a node
   * would grant the whole limit of each tenant.
   */
  readonly isDirectorySynced: () => boolean;
}

export interface QuotaPart {
  /** Undefined if the settings have no quota bounds; no tenant is limited then. */
  readonly gate: QuotaGate | undefined;
  /** True while quotas are enabled and the configuration has tenants. */
  readonly isUsed: boolean;
  /** Grants requests to another node. Undefined if this node does not hold a part of the quota. */
  grant(tenant: string, wanted: number): QuotaGrant | undefined;
  /** Called when another node has announced that it leaves for good. */
  noteLeft(node: string): void;
  /** Called when a configuration has come into force. */
  refresh(): void;
  start(): void;
  stop(): void;
}

const NO_QUOTAS: QuotaPart = {
  gate: undefined,
  isUsed: false,
  grant: () => undefined,
  noteLeft: () => {},
  refresh: () => {},
  start: () => {},
  stop: () => {},
};

export function createQuotaPart(context: QuotaPartContext): QuotaPart {
  const { settings, clock, directory, reads, routes, isDirectorySynced } = context;
  const { node, zone, quota: bounds } = settings();
  if (!bounds) {
    return NO_QUOTAS;
  }
  const pool = createQuotaPool(node);
  const members = createQuotaMembers(directory, clock);
  let inForce: { readonly version: number; readonly members: readonly QuotaMember[] } | undefined;
  let timer: NodeJS.Timeout | undefined;

  const refresh = (): void => {
    const configuration = routes()?.configuration;
    if (!configuration?.tenants.length || !isDirectorySynced()) {
      return;
    }
    const { version, tenants } = configuration;
    const next = { version, members: members.list() };
    if (next.version !== inForce?.version || next.members !== inForce.members) {
      inForce = next;
      pool.refresh({ ...next, tenants, bounds }, clock.now());
    }
  };

  const requestGrant = (
    holder: QuotaMember,
    tenant: string,
    wanted: number,
  ): Promise<QuotaGrant | undefined> => {
    const entry = directory.all().find(({ record }) => record.node === holder.node);
    return entry && entry.absenceReason !== 'silent'
      ? reads.requestQuota(entry.record.address, { tenant, wanted }, GRANT_LIFETIME_MS)
      : Promise.resolve(undefined);
  };

  return {
    gate: createQuotaGate({ clock, node, zone, windowMs: bounds.windowMs, pool, requestGrant }),
    get isUsed() {
      return (routes()?.configuration.tenants.length ?? 0) > 0;
    },
    grant: (tenant, wanted) => pool.grant(tenant, wanted, clock.now()),
    noteLeft: members.noteLeft,
    refresh,
    start: () => {
      timer = setInterval(refresh, REFRESH_MS);
    },
    stop: () => clearInterval(timer),
  };
}
