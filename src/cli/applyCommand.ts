/** The command that puts a file in the place of the whole configuration, and waits for it to be in force. */
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

/** Pause between two looks at the nodes while waiting, in milliseconds. */
const WAIT_POLL_MS = 200;

const MILLISECONDS_PER_SECOND = 1_000;

/** How `apply` goes about it. */
export interface ApplyOptions {
  readonly file: string;
  /** Version that the operator has last seen; anything else in the store is a conflict. */
  readonly expected: number | undefined;
  /** Seconds to wait until the version is in force everywhere; undefined not to wait. */
  readonly waitSeconds: number | undefined;
}

/** Puts a file in the place of the whole configuration. */
export async function apply(context: CommandContext, plan: ApplyOptions): Promise<ExitCode> {
  const { platform, store, output } = context;
  const { configuration, findings } = readConfigurationFile(plan.file);
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
  const found = stored?.version ?? 0;
  if (plan.expected !== undefined && found !== plan.expected) {
    return reportWrite({ kind: 'conflict', version: found }, output);
  }
  const result = await replaceStored(store, platform, stored, configuration, newestHeld);
  const code = reportWrite(result, output);
  return result.kind === 'accepted' && plan.waitSeconds !== undefined
    ? waitInForce(context, { version: result.version, object: result.object }, plan.waitSeconds)
    : code;
}

/** What is waited for. */
export interface AwaitedVersion {
  readonly version: number;
  /** As it was written, where that is known. */
  readonly object?: StoredObject<unknown>;
}

/** Waits until a version is in force on every node that the store names, or that these know. */
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
      return tellLost(version, output);
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
      return tellBehind({ version, seconds, fleet, behind }, output);
    }
    await delay(WAIT_POLL_MS);
  }
}

/** Nodes may hold it: they keep it, and whoever starts takes what the store holds. */
function tellLost(version: number, output: Output): ExitCode {
  output.result(
    { version, inForce: false, isLost: true },
    () =>
      `The store has come back from a copy without version ${version}: apply the same file again.`,
  );
  return ExitCode.Unknown;
}

interface Behind {
  readonly version: number;
  readonly seconds: number;
  readonly fleet: FleetResult;
  readonly behind: readonly NodeStatus[];
}

function tellBehind({ version, seconds, fleet, behind }: Behind, output: Output): ExitCode {
  const names = behind.map(({ node }) => node);
  const cause = fleet.kind === 'known' ? `behind: ${names.join(', ')}` : fleet.failure;
  output.result(
    { version, inForce: false, behind: names, cause },
    () => `Version ${version} is not in force everywhere after ${seconds} s: ${cause}.`,
  );
  return ExitCode.TimedOut;
}
