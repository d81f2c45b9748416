/** Quotas of tenants: the parts that are held here, those that others hold, and the gate before requests. */
import type { OwnerDirectory } from '../directory/owner-directory.js';
import { createQuotaMembers } from '../directory/quotaMembers.js';
import type { Clock } from '../model/clock.js';
import type { PooledPeerClient } from '../peer/pooledPeerClient.js';
import type { RouteMatcher } from '../routing/route-matcher.js';
import { createQuotaGate, type QuotaGate } from '../tenants/quotaGate.js';
import { GRANT_LIFETIME_MS, type QuotaMember } from '../tenants/quotaParts.js';
import { createQuotaPool, type QuotaGrant } from '../tenants/quotaPool.js';
import type { SidecarSettings } from './sidecar-settings.js';

/** Pause between two looks for nodes that have come or gone, in milliseconds. */
const REFRESH_MS = 500;

/** What is needed of the node. */
export interface QuotaPartContext {
  readonly settings: () => SidecarSettings;
  readonly clock: Clock;
  readonly directory: OwnerDirectory;
  readonly reads: PooledPeerClient;
  readonly routes: () => RouteMatcher | undefined;
  /** True once the other nodes are known: a node that knew itself alone would hold whole limits. */
  readonly isDirectorySynced: () => boolean;
}

export interface QuotaPart {
  /** Undefined without bounds: then no tenant is limited. */
  readonly gate: QuotaGate | undefined;
  /** True while the configuration holds tenants whose limits this node keeps. */
  readonly isUsed: boolean;
  /** Answers another node; undefined where no part is held. */
  grant(tenant: string, wanted: number): QuotaGrant | undefined;
  /** Another node has left for good, by its own word. */
  noteLeft(node: string): void;
  /** A configuration has come into force. */
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
