/** Which version every node has in force, as the nodes themselves say. */
import PQueue from 'p-queue';
import { NODE_KIND } from '../directory/directory-sync.js';
import type { OwnerRecord } from '../directory/owner-entry.js';
import { isOwnerRecord, readOwnerRecords } from '../directory/ownerRecord.js';
import { PeerClient } from '../peer/peerClient.js';
import type { PeerReport } from '../peer/peerMessages.js';
import { type ObjectStore, ReadConsistency, type StoreFailure } from '../source/object-store.js';
import { parseTenantUsage, type TenantUsage } from '../tenants/tenantUsage.js';

/** Nodes that are asked at the same time. */
const CONCURRENCY = 32;

/** A node that takes longer to answer, in milliseconds, is out of reach. */
const ANSWER_TIMEOUT_MS = 1_000;

/** Nodes that are asked which others they know: each knows all but those that have just come. */
const ASKED_FOR_OTHERS = 2;

/** Nodes that are asked for the newest version: any one in touch holds it. */
const ASKED_FOR_VERSION = 8;

/** An operator's program is no node: it has no back end and holds no version. */
const NO_REPORT: PeerReport = {
  service: undefined,
  ready: false,
  inFlight: 0,
  queued: 0,
  slots: 0,
  meanServiceMs: undefined,
  failureShare: 0,
  backEndVersion: undefined,
  bornAt: undefined,
  slowness: 1,
  waiting: 0,
  version: 0,
};
const NO_ADDRESS = '0.0.0.0:0';

/** One node, as it is known. */
export interface NodeStatus {
  readonly node: string;
  readonly zone: string;
  readonly service: string;
  /** Version in force; undefined if the node is out of reach. */
  readonly version: number | undefined;
  /** True while its back end takes work. */
  readonly ready: boolean;
  /** Version of its back end; undefined until that has told it. */
  readonly backEndVersion?: string | undefined;
}

export type FleetResult =
  | { readonly kind: 'known'; readonly nodes: readonly NodeStatus[] }
  | { readonly kind: 'unavailable'; readonly failure: StoreFailure };

/** The records of all nodes in the store that have not left. */
export async function readRecords(
  store: ObjectStore,
): Promise<{ records: OwnerRecord[] } | { failure: StoreFailure }> {
  const listed = await store.list<OwnerRecord>(NODE_KIND, ReadConsistency.Strong);
  return listed.ok
    ? {
        records: listed.value.items
          .filter(({ spec }) => isOwnerRecord(spec) && !spec.hasLeft)
          .map(({ name, spec }) => ({ ...spec, node: name })),
      }
    : { failure: listed.failure };
}

/** Asks every node that the store names. */
export async function readFleet(store: ObjectStore): Promise<FleetResult> {
  const found = await readRecords(store);
  return 'failure' in found
    ? { kind: 'unavailable', failure: found.failure }
    : askFleet(found.records);
}

/**
 * Asks every node that the store names, and every other one that these know: a store that has come back from a
 * copy lacks the records of nodes for a moment.
 */
export async function readWholeFleet(store: ObjectStore): Promise<FleetResult> {
  const found = await readRecords(store);
  if ('failure' in found) {
    return { kind: 'unavailable', failure: found.failure };
  }
  const asked = found.records.slice(0, ASKED_FOR_OTHERS);
  const told = await askAll(asked, async (caller, { address }) => {
    const bytes = await caller.directory(address, ANSWER_TIMEOUT_MS);
    return (bytes && readOwnerRecords(bytes)) ?? [];
  });
  const byNode = new Map([...told.flat(), ...found.records].map((record) => [record.node, record]));
  return askFleet([...byNode.values()]);
}

/** The newest version that some of the nodes hold, 0 if none of them answers. */
export async function readNewestHeldVersion(store: ObjectStore): Promise<number> {
  const found = await readRecords(store);
  if ('failure' in found) {
    return 0;
  }
  const versions = await askAll(found.records.slice(0, ASKED_FOR_VERSION), (caller, { address }) =>
    caller.status(address, ANSWER_TIMEOUT_MS),
  );
  return Math.max(0, ...versions.map((report) => report?.version ?? 0));
}

async function askFleet(records: readonly OwnerRecord[]): Promise<FleetResult> {
  const nodes = await askAll(records, async (caller, record): Promise<NodeStatus> => {
    const { node, address, zone, service } = record;
    const report = await caller.status(address, ANSWER_TIMEOUT_MS);
    return {
      node,
      zone,
      service,
      version: report?.version,
      ready: report?.ready ?? false,
      backEndVersion: report?.backEndVersion,
    };
  });
  const byZone = (left: NodeStatus, right: NodeStatus) =>
    left.zone.localeCompare(right.zone) || left.node.localeCompare(right.node);
  return { kind: 'known', nodes: [...nodes].sort(byZone) };
}

/** Asks for what tenants have used of late at each node; undefined for one that is out of reach. */
export function readTenantUses(
  records: readonly OwnerRecord[],
): Promise<(readonly TenantUsage[] | undefined)[]> {
  return askAll(records, async (caller, { address }) => {
    const bytes = await caller.tenantUse(address, ANSWER_TIMEOUT_MS);
    return bytes && parseTenantUsage(bytes);
  });
}

/** Asks nodes, some at a time. */
function askAll<Answer>(
  records: readonly OwnerRecord[],
  ask: (caller: PeerClient, record: OwnerRecord) => Promise<Answer>,
): Promise<Answer[]> {
  const caller = new PeerClient(
    () => ({ address: NO_ADDRESS, version: 0 }),
    () => NO_REPORT,
  );
  const queue = new PQueue({ concurrency: CONCURRENCY });
  return queue.addAll(records.map((record) => () => ask(caller, record)));
}

/** Nodes that do not have a version in force, or a newer one. */
export function laggards(nodes: readonly NodeStatus[], version: number): NodeStatus[] {
  return nodes.filter((node) => node.version === undefined || node.version < version);
}
