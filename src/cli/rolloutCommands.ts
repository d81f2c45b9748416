/** Commands about roll-outs: each is one order in the store, whose status the sidecars write. */
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
 * Shortest roll-out in milliseconds: the version is watched for two thirds of it, and a version may turn
 * bad some seconds after its start; the last step takes some two seconds, and longer with long requests.
 */
const SHORTEST_MS = 8_000;

/** Pause between two looks at an order that is watched, in milliseconds. */
const WATCH_POLL_MS = 500;

const MILLISECONDS_PER_SECOND = 1_000;

/** What an operator asks for. */
export interface RolloutRequest {
  readonly service: string;
  readonly targetVersion: string;
  readonly durationMs: number;
  /** True to take the place of an order that runs. */
  readonly replaces: boolean;
}

/** Orders a roll-out, unless one of the service runs or it cannot be carried out. */
export async function startRollout(
  context: CommandContext,
  asked: RolloutRequest,
): Promise<ExitCode> {
  const { store, output, platform } = context;
  const { rollouts } = platform;
  if (!rollouts) {
    return reportRejected([NOT_FOLLOWED], output);
  }
  const read = await readStored(store, platform);
  if (read.kind === 'unavailable') {
    return reportUnavailable(read.failure, output);
  }
  const services = read.stored?.configuration?.services.map(({ name }) => name);
  const held = await readOrder(store, rollouts, asked.service);
  if (held.failure !== undefined) {
    return reportUnavailable(held.failure, output);
  }
  const findings = [
    ...findingsOf(asked, services),
    ...(await versionFindings(store, asked)),
    ...standingFindings(asked, held.order),
  ];
  if (findings.length > 0) {
    return reportRejected(findings, output);
  }
  const spec = rollouts.encode(asked);
  const result = await writeOrder(store, rollouts.kind, { asked, held, spec });
  return result.ok ? started(asked, output) : refusedWrite(result, output);
}

/** Prints the orders that the store holds, or that of one service. */
export async function rolloutStatus(
  { store, output, platform }: CommandContext,
  service: string | undefined,
): Promise<ExitCode> {
  const { rollouts } = platform;
  if (!rollouts) {
    return reportRejected([NOT_FOLLOWED], output);
  }
  const listed = await store.list<unknown>(rollouts.kind, ReadConsistency.Strong);
  if (!listed.ok) {
    return reportUnavailable(listed.failure, output);
  }
  const orders = listed.value.items
    .flatMap((object) => rollouts.decode(object) ?? [])
    .filter((order) => service === undefined || order.service === service)
    .map(shown);
  output.result({ rollouts: orders }, () =>
    orders.length === 0
      ? 'No roll-out is ordered.'
      : tableOf(
          ['SERVICE', 'VERSION', 'SECONDS', 'STATE'],
          orders.map((each) => Object.values(each)),
        ),
  );
  return ExitCode.Ok;
}

/** Prints each state of an order until it ends; `TimedOut` if that takes too long. */
export async function watchRollout(
  { store, output, platform }: CommandContext,
  service: string,
  timeoutSeconds: number,
): Promise<ExitCode> {
  const { rollouts } = platform;
  if (!rollouts) {
    return reportRejected([NOT_FOLLOWED], output);
  }
  const until = performance.now() + timeoutSeconds * MILLISECONDS_PER_SECOND;
  let last = '';
  while (performance.now() < until) {
    const { order } = await readOrder(store, rollouts, service);
    const line = order && shown(order);
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

const NOT_FOLLOWED: Finding = {
  code: 'no-roll-outs',
  path: '',
  message: 'this deployment knows no roll-outs',
};

/** Undefined services when no configuration can be read: then nothing is said of them. */
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
    message: `${durationMs / MILLISECONDS_PER_SECOND} s are too short to judge a version: at least ${SHORTEST_MS / MILLISECONDS_PER_SECOND} s`,
  };
  return [
    ...(services && !services.includes(service) ? [unknown] : []),
    ...(durationMs >= SHORTEST_MS ? [] : [short]),
  ];
}

/** A version that every back end of the service has leaves nothing to move. */
async function versionFindings(store: ObjectStore, asked: RolloutRequest): Promise<Finding[]> {
  const fleet = await readFleet(store);
  const owners =
    fleet.kind === 'known' ? fleet.nodes.filter(({ service }) => service === asked.service) : [];
  // An owner that is out of reach, or has not told its version, may have another one.
  const isMoved =
    owners.length > 0 &&
    owners.every(({ backEndVersion }) => backEndVersion === asked.targetVersion);
  return isMoved
    ? [
        {
          code: 'already-there',
          path: 'version',
          message: `every back end of ${asked.service} has the version ${asked.targetVersion}`,
        },
      ]
    : [];
}

function standingFindings(
  { replaces }: RolloutRequest,
  order: RolloutOrder | undefined,
): Finding[] {
  if (!order || hasEnded(order) || replaces) {
    return [];
  }
  const message = `a roll-out to ${order.targetVersion} runs: --replace to end it with this one`;
  return [{ code: 'roll-out-runs', path: 'service', message }];
}

interface HeldOrder {
  readonly object?: StoredObject<unknown>;
  readonly order?: RolloutOrder | undefined;
  /** Set if the store did not answer. */
  readonly failure?: StoreError['failure'];
}

interface NewOrder {
  readonly asked: RolloutRequest;
  readonly held: HeldOrder;
  readonly spec: unknown;
}

/** A status that says how an earlier order of the same version ended would end the new one at once. */
async function writeOrder(
  store: ObjectStore,
  kind: string,
  { asked, held, spec }: NewOrder,
): Promise<StoreResult<StoredObject<unknown>>> {
  const { object, order } = held;
  if (!object) {
    return store.create(kind, asked.service, spec);
  }
  if (!order || !hasEnded(order) || order.targetVersion !== asked.targetVersion) {
    return store.replace(kind, { ...object, spec });
  }
  const removed = await store.remove(kind, asked.service, object.revision);
  return removed.ok ? store.create(kind, asked.service, spec) : removed;
}

async function readOrder(
  store: ObjectStore,
  rollouts: RolloutCodec,
  service: string,
): Promise<HeldOrder> {
  const result = await store.get<unknown>(rollouts.kind, service);
  if (result.ok) {
    return { object: result.value, order: rollouts.decode(result.value) };
  }
  return result.failure === 'not-found' ? {} : { failure: result.failure };
}

function started({ service, targetVersion, durationMs }: RolloutRequest, output: Output): ExitCode {
  output.result(
    { started: service, targetVersion, durationMs },
    () => `The roll-out of ${service} to ${targetVersion} is ordered.`,
  );
  return ExitCode.Ok;
}

function refusedWrite({ failure }: StoreError, output: Output): ExitCode {
  if (failure === 'conflict' || failure === 'not-found') {
    output.failure({ kind: 'conflict' }, 'Somebody else has changed the order meanwhile.');
    return ExitCode.Conflict;
  }
  if (failure === 'unknown') {
    output.failure(
      { kind: 'unknown' },
      'It is not known whether the order was written: see status.',
    );
    return ExitCode.Unknown;
  }
  return reportUnavailable(failure, output);
}

function shown({ service, targetVersion, durationMs, state }: RolloutOrder) {
  return {
    service,
    version: targetVersion,
    seconds: durationMs / MILLISECONDS_PER_SECOND,
    state: state ?? 'ordered',
  };
}
