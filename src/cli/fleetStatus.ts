/** Asks the nodes for their status: the version in force, readiness, and what tenants have used. */
import PQueue from 'p-queue';
import { NODE_KIND } from '../directory/directory-sync.js';
import type { OwnerRecord } from '../directory/owner-entry.js';
import { isOwnerRecord, readOwnerRecords } from '../directory/ownerRecord.js';
import { PeerClient } from '../peer/peerClient.js';
import type { PeerReport } from '../peer/peerMessages.js';
import { type ObjectStore, ReadConsistency, type StoreFailure } from '../source/object-store.js';
import { parseTenantUsage, type TenantUsage } from '../tenants/tenantUsage.js';

/** Number of nodes that are asked at the same time. */
const CONCURRENCY = 32;

/** Timeout of a node's answer in milliseconds. A node that exceeds it is unreachable. */
const ANSWER_TIMEOUT_MS = 1_000;

/**
 * Number of nodes that are asked for their directory. Each directory has all nodes but those that
 * have just started.
 */
const DIRECTORY_QUERIES = 2;

/** Number of nodes that are asked for the newest version. Any node in contact holds it. */
const VERSION_QUERIES = 8;

/** The operator's program sends this report, as it is not a node: no back end and no version. */
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
  limitPerS: undefined,
  limitWaitMs: 0,
  callRates: undefined,
  version: 0,
};
const NO_ADDRESS = '0.0.0.0:0';

/** Status of one node. */
export interface NodeStatus {
  readonly node: string;
  readonly zone: string;
  readonly service: string;
  /** Version in force. Undefined if the node is unreachable. */
  readonly version: number | undefined;
  /** True while its back end accepts tasks. */
  readonly ready: boolean;
  /** Version of its back end. Undefined until the back end has reported it. */
  readonly backEndVersion?: string | undefined;
}

export type FleetResult =
  | { readonly kind: 'known'; readonly nodes: readonly NodeStatus[] }
  | { readonly kind: 'unavailable'; readonly failure: StoreFailure };

/** Returns the store's records of all nodes that have not left. */
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

/** Asks every node that has a record in the store. */
export async function readFleet(store: ObjectStore): Promise<FleetResult> {
  const listed = await readRecords(store);
  return 'failure' in listed
    ? { kind: 'unavailable', failure: listed.failure }
    : askFleet(listed.records);
}

/**
 * Asks every node that has a record in the store or in the directory of some of these nodes. A
 * store that has just been restored from a copy lacks the records of some nodes for a moment.
 */
export async function readWholeFleet(store: ObjectStore): Promise<FleetResult> {
  const listed = await readRecords(store);
  if ('failure' in listed) {
    return { kind: 'unavailable', failure: listed.failure };
  }
  const targets = listed.records.slice(0, DIRECTORY_QUERIES);
  const directories = await askAll(targets, async (client, { address }) => {
    const bytes = await client.directory(address, ANSWER_TIMEOUT_MS);
    return (bytes && readOwnerRecords(bytes)) ?? [];
  });
  const byNode = new Map(
    [...directories.flat(), ...listed.records].map((record) => [record.node, record]),
  );
  return askFleet([...byNode.values()]);
}

/** Returns the newest version that a few of the nodes hold. 0 if none of them answers. */
export async function readNewestHeldVersion(store: ObjectStore): Promise<number> {
  const listed = await readRecords(store);
  if ('failure' in listed) {
    return 0;
  }
  const versions = await askAll(listed.records.slice(0, VERSION_QUERIES), (client, { address }) =>
    client.status(address, ANSWER_TIMEOUT_MS),
  );
  return Math.max(0, ...versions.map((report) => report?.version ?? 0));
}

async function askFleet(records: readonly OwnerRecord[]): Promise<FleetResult> {
  const nodes = await askAll(records, async (client, record): Promise<NodeStatus> => {
    const { node, address, zone, service } = record;
    const report = await client.status(address, ANSWER_TIMEOUT_MS);
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

/** Asks each node for the recent usage of its tenants. Undefined for an unreachable node. */
export function readTenantUses(
  records: readonly OwnerRecord[],
): Promise<(readonly TenantUsage[] | undefined)[]> {
  return askAll(records, async (client, { address }) => {
    const bytes = await client.tenantUse(address, ANSWER_TIMEOUT_MS);
    return bytes && parseTenantUsage(bytes);
  });
}

/** Runs `ask` for each record, {@link CONCURRENCY} at a time. */
function askAll<Answer>(
  records: readonly OwnerRecord[],
  ask: (client: PeerClient, record: OwnerRecord) => Promise<Answer>,
): Promise<Answer[]> {
  const client = new PeerClient(
    () => ({ address: NO_ADDRESS, version: 0 }),
    () => NO_REPORT,
  );
  const queue = new PQueue({ concurrency: CONCURRENCY });
  return queue.addAll(records.map((record) => () => ask(client, record)));
}

/** Returns the nodes that have an older version in force or are unreachable. */
export function laggards(nodes: readonly NodeStatus[], version: number): NodeStatus[] {
  return nodes.filter((node) => node.version === undefined || node.version < version);
}
