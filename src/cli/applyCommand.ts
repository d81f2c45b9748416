/**
 * The commands `apply`, which replaces the whole configuration with a file, and `wait`, which waits
 * until a version is in force on all nodes.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { StoredObject } from '../source/object-store.js';
import type { CommandContext } from './commands.js';
import { readConfigurationFile } from './configurationFile.js';
import { ExitCode } from './exitCode.js';
import { reportRejected, reportUnavailable } from './failures.js';
import {
  type FleetResult,
  laggards,
  type NodeStatus,
  readNewestHeldVersion,
  readWholeFleet,
} from './fleetStatus.js';
import type { Output } from './output.js';
import { isLost, readStored, replaceStored } from './storedConfiguration.js';
import { reportWrite } from './writeReport.js';

/** Pause between two queries of the nodes while waiting, in milliseconds. */
const WAIT_POLL_MS = 200;

const MILLISECONDS_PER_SECOND = 1_000;

/** Options of `apply`. */
export interface ApplyOptions {
  readonly file: string;
  /** Version that the operator last read. If the store holds another one, `apply` is a conflict. */
  readonly expected: number | undefined;
  /** Seconds to wait until the version is in force on all nodes. Undefined to not wait. */
  readonly waitSeconds: number | undefined;
}

/** Replaces the whole configuration with a file. */
export async function apply(context: CommandContext, options: ApplyOptions): Promise<ExitCode> {
  const { platform, store, output } = context;
  const { configuration, findings } = readConfigurationFile(options.file);
  if (!configuration) {
    return reportRejected(findings, output);
  }
  const [read, newestHeld] = await Promise.all([
    readStored(store, platform),
    readNewestHeldVersion(store),
  ]);
  if (read.kind === 'unavailable') {
    return reportUnavailable(read.failure, output);
  }
  const { stored } = read;
  const storedVersion = stored?.version ?? 0;
  if (options.expected !== undefined && storedVersion !== options.expected) {
    return reportWrite({ kind: 'conflict', version: storedVersion }, output);
  }
  const result = await replaceStored(store, platform, stored, configuration, newestHeld);
  const code = reportWrite(result, output);
  return result.kind === 'accepted' && options.waitSeconds !== undefined
    ? waitInForce(context, { version: result.version, object: result.object }, options.waitSeconds)
    : code;
}

/** The version that `waitInForce` waits for. */
export interface AwaitedVersion {
  readonly version: number;
  /** The object as this program wrote it. Undefined if only the version is known. */
  readonly object?: StoredObject<unknown>;
}

/**
 * Waits until a version is in force on every node that has a record in the store or in the
 * directory of another node.
 */
export async function waitInForce(
  context: CommandContext,
  { version, object }: AwaitedVersion,
  seconds: number,
): Promise<ExitCode> {
  const { store, output, platform } = context;
  const startedAt = performance.now();
  const waitedMs = () => Math.round(performance.now() - startedAt);
  for (;;) {
    const [read, fleet] = await Promise.all([readStored(store, platform), readWholeFleet(store)]);
    if (object && read.kind === 'read' && isLost(read.stored, object)) {
      return reportLost(version, output);
    }
    const isKnown = fleet.kind === 'known' && fleet.nodes.length > 0;
    const behind = isKnown ? laggards(fleet.nodes, version) : [];
    if (isKnown && behind.length === 0) {
      output.result(
        { version, inForce: true, nodes: fleet.nodes.length, waitedMs: waitedMs() },
        () => `Version ${version} is in force on all ${fleet.nodes.length} nodes.`,
      );
      return ExitCode.Ok;
    }
    if (waitedMs() >= seconds * MILLISECONDS_PER_SECOND) {
      return reportTimedOut({ version, seconds, fleet, behind }, output);
    }
    await delay(WAIT_POLL_MS);
  }
}

/**
 * Reports a version that a restore of the store has removed. Nodes that hold it keep it, but a node
 * that starts loads what the store holds.
 */
function reportLost(version: number, output: Output): ExitCode {
  output.result(
    { version, inForce: false, isLost: true },
    () =>
      `The store was restored from a copy without version ${version}: apply the same file again.`,
  );
  return ExitCode.Unknown;
}

interface TimedOutWait {
  readonly version: number;
  readonly seconds: number;
  readonly fleet: FleetResult;
  readonly behind: readonly NodeStatus[];
}

function reportTimedOut(
  { version, seconds, fleet, behind }: TimedOutWait,
  output: Output,
): ExitCode {
  const names = behind.map(({ node }) => node);
  const cause = fleet.kind === 'known' ? `behind: ${names.join(', ')}` : fleet.failure;
  output.result(
    { version, inForce: false, behind: names, cause },
    () => `Version ${version} is not in force everywhere after ${seconds} s: ${cause}.`,
  );
  return ExitCode.TimedOut;
}
