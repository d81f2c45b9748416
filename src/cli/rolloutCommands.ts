/** Commands about roll-outs: each is an order in the store, whose status the sidecars write. */
import { setTimeout as delay } from 'node:timers/promises';
import type { RolloutCodec } from '../directory/rolloutStatusWriter.js';
import type { Finding } from '../model/finding.js';
import { type RolloutOrder, RolloutState } from '../rollout/rolloutOrder.js';
import { hasEnded } from '../rollout/rolloutTracker.js';
import {
  type ObjectStore,
  ReadConsistency,
  type StoredObject,
  type StoreError,
  type StoreResult,
} from '../source/object-store.js';
import type { CommandContext } from './commands.js';
import { ExitCode } from './exitCode.js';
import { reportRejected, reportUnavailable } from './failures.js';
import { readFleet } from './fleetStatus.js';
import { type Output, tableOf } from './output.js';
import { readStored } from './storedConfiguration.js';

/**
 * Shortest accepted duration in milliseconds. The version is observed for two thirds of it, and a
 * version may become bad some seconds after its start. The last step takes about two seconds, and
 * longer with long requests.
 */
const SHORTEST_MS = 8_000;

/** Pause between two reads of an order that is watched, in milliseconds. */
const WATCH_POLL_MS = 500;

const MILLISECONDS_PER_SECOND = 1_000;

export interface RolloutRequest {
  readonly service: string;
  readonly targetVersion: string;
  readonly durationMs: number;
  /** True to replace a running order. */
  readonly replaces: boolean;
}

/** Orders a roll-out. Rejects it if the service has a running one or it cannot be carried out. */
export async function startRollout(
  context: CommandContext,
  request: RolloutRequest,
): Promise<ExitCode> {
  const { store, output, platform } = context;
  const { rollouts } = platform;
  if (!rollouts) {
    return reportRejected([NO_ROLLOUTS], output);
  }
  const read = await readStored(store, platform);
  if (read.kind === 'unavailable') {
    return reportUnavailable(read.failure, output);
  }
  const services = read.stored?.configuration?.services.map(({ name }) => name);
  const current = await readOrder(store, rollouts, request.service);
  if (current.failure !== undefined) {
    return reportUnavailable(current.failure, output);
  }
  const findings = [
    ...findingsOf(request, services),
    ...(await versionFindings(store, request)),
    ...runningOrderFindings(request, current.order),
  ];
  if (findings.length > 0) {
    return reportRejected(findings, output);
  }
  const spec = rollouts.encode(request);
  const result = await writeOrder(store, rollouts.kind, { request, current, spec });
  return result.ok ? reportStarted(request, output) : reportFailedWrite(result, output);
}

/** Prints the orders in the store, or only that of `service`. */
export async function rolloutStatus(
  { store, output, platform }: CommandContext,
  service: string | undefined,
): Promise<ExitCode> {
  const { rollouts } = platform;
  if (!rollouts) {
    return reportRejected([NO_ROLLOUTS], output);
  }
  const listed = await store.list<unknown>(rollouts.kind, ReadConsistency.Strong);
  if (!listed.ok) {
    return reportUnavailable(listed.failure, output);
  }
  const orders = listed.value.items
    .flatMap((object) => rollouts.decode(object) ?? [])
    .filter((order) => service === undefined || order.service === service)
    .map(describeOrder);
  output.result({ rollouts: orders }, () =>
    orders.length === 0
      ? 'No roll-out is ordered.'
      : tableOf(
          ['SERVICE', 'VERSION', 'SECONDS', 'STATE'],
          orders.map((row) => Object.values(row)),
        ),
  );
  return ExitCode.Ok;
}

/** Prints each state of an order until it ends. Returns `TimedOut` if that takes too long. */
export async function watchRollout(
  { store, output, platform }: CommandContext,
  service: string,
  timeoutSeconds: number,
): Promise<ExitCode> {
  const { rollouts } = platform;
  if (!rollouts) {
    return reportRejected([NO_ROLLOUTS], output);
  }
  const deadline = performance.now() + timeoutSeconds * MILLISECONDS_PER_SECOND;
  let last = '';
  while (performance.now() < deadline) {
    const { order } = await readOrder(store, rollouts, service);
    const line = order && describeOrder(order);
    if (line && JSON.stringify(line) !== last) {
      last = JSON.stringify(line);
      output.result(line, () => `${line.service} to ${line.version}: ${line.state}`);
    }
    if (order && hasEnded(order)) {
      return order.state === RolloutState.Completed ? ExitCode.Ok : ExitCode.Rejected;
    }
    await delay(WATCH_POLL_MS);
  }
  return ExitCode.TimedOut;
}

const NO_ROLLOUTS: Finding = {
  code: 'no-roll-outs',
  path: '',
  message: 'this deployment does not support roll-outs',
};

/** Checks the request. `services` is undefined if no valid configuration is stored. */
function findingsOf(
  { service, durationMs }: RolloutRequest,
  services: readonly string[] | undefined,
): Finding[] {
  const unknown: Finding = {
    code: 'unknown-service',
    path: 'service',
    message: `the configuration has no service ${service}`,
  };
  const short: Finding = {
    code: 'duration-too-short',
    path: 'duration',
    message: `${durationMs / MILLISECONDS_PER_SECOND} s is too short to judge a version: at least ${SHORTEST_MS / MILLISECONDS_PER_SECOND} s`,
  };
  return [
    ...(services && !services.includes(service) ? [unknown] : []),
    ...(durationMs >= SHORTEST_MS ? [] : [short]),
  ];
}

/** Reports a version that all back ends of the service already have: no traffic is left to move. */
async function versionFindings(store: ObjectStore, request: RolloutRequest): Promise<Finding[]> {
  const fleet = await readFleet(store);
  const owners =
    fleet.kind === 'known' ? fleet.nodes.filter(({ service }) => service === request.service) : [];
  // An owner that is unreachable, or whose version is unknown, may have another version.
  const isMoved =
    owners.length > 0 &&
    owners.every(({ backEndVersion }) => backEndVersion === request.targetVersion);
  return isMoved
    ? [
        {
          code: 'already-there',
          path: 'version',
          message: `all back ends of ${request.service} have version ${request.targetVersion}`,
        },
      ]
    : [];
}

function runningOrderFindings(
  { replaces }: RolloutRequest,
  order: RolloutOrder | undefined,
): Finding[] {
  if (!order || hasEnded(order) || replaces) {
    return [];
  }
  const message = `a roll-out to ${order.targetVersion} is running: use --replace to replace it`;
  return [{ code: 'roll-out-runs', path: 'service', message }];
}

interface CurrentOrder {
  readonly object?: StoredObject<unknown>;
  readonly order?: RolloutOrder | undefined;
  /** Set if the read failed. */
  readonly failure?: StoreError['failure'];
}

interface OrderWrite {
  readonly request: RolloutRequest;
  readonly current: CurrentOrder;
  readonly spec: unknown;
}

/**
 * Creates the order or replaces the current one. An ended order for the same version is removed
 * first, as its status would apply to the new order and end it at once.
 */
async function writeOrder(
  store: ObjectStore,
  kind: string,
  { request, current, spec }: OrderWrite,
): Promise<StoreResult<StoredObject<unknown>>> {
  const { object, order } = current;
  if (!object) {
    return store.create(kind, request.service, spec);
  }
  if (!order || !hasEnded(order) || order.targetVersion !== request.targetVersion) {
    return store.replace(kind, { ...object, spec });
  }
  const removed = await store.remove(kind, request.service, object.revision);
  if (!removed.ok) {
    return removed;
  }
  const created = await store.create(kind, request.service, spec);
  // The removal has been done.
  return created.ok ? created : { ...created, failure: 'unknown' };
}

async function readOrder(
  store: ObjectStore,
  rollouts: RolloutCodec,
  service: string,
): Promise<CurrentOrder> {
  const result = await store.get<unknown>(rollouts.kind, service);
  if (result.ok) {
    return { object: result.value, order: rollouts.decode(result.value) };
  }
  return result.failure === 'not-found' ? {} : { failure: result.failure };
}

function reportStarted(
  { service, targetVersion, durationMs }: RolloutRequest,
  output: Output,
): ExitCode {
  output.result(
    { started: service, targetVersion, durationMs },
    () => `The roll-out of ${service} to ${targetVersion} is ordered.`,
  );
  return ExitCode.Ok;
}

function reportFailedWrite({ failure }: StoreError, output: Output): ExitCode {
  if (failure === 'conflict' || failure === 'not-found') {
    output.failure({ kind: 'conflict' }, 'Another writer has changed the order since it was read.');
    return ExitCode.Conflict;
  }
  if (failure === 'unknown') {
    output.failure(
      { kind: 'unknown' },
      'It is unknown whether the order was written: run `rollout status`.',
    );
    return ExitCode.Unknown;
  }
  return reportUnavailable(failure, output);
}

function describeOrder({ service, targetVersion, durationMs, state }: RolloutOrder) {
  return {
    service,
    version: targetVersion,
    seconds: durationMs / MILLISECONDS_PER_SECOND,
    state: state ?? 'ordered',
  };
}
