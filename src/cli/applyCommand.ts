/** The command that puts a file in the place of the whole configuration, and waits for it to be in force. */
import { setTimeout as delay } from 'node:timers/promises';
import type { CommandContext } from './commands.js';
import { readConfigurationFile } from './configurationFile.js';
import { ExitCode } from './exitCode.js';
import { refuse, unavailable } from './failures.js';
import { laggards, readFleet } from './fleetStatus.js';
import { readStored, replaceStored } from './storedConfiguration.js';
import { reportWrite } from './writeReport.js';

/** Pause between two looks at the nodes while waiting, in milliseconds. */
const WAIT_POLL_MS = 200;

const MILLISECONDS_PER_SECOND = 1_000;

/** How `apply` goes about it. */
export interface ApplyPlan {
  readonly file: string;
  /** Version that the operator has last seen; anything else in the store is a conflict. */
  readonly expected: number | undefined;
  /** Seconds to wait until the version is in force everywhere; undefined not to wait. */
  readonly waitSeconds: number | undefined;
}

/** Puts a file in the place of the whole configuration. */
export async function apply(context: CommandContext, plan: ApplyPlan): Promise<ExitCode> {
  const { outside, store, output } = context;
  const { configuration, findings } = readConfigurationFile(plan.file);
  if (!configuration) {
    return refuse(findings, output);
  }
  const read = await readStored(store, outside);
  if (read.kind === 'unavailable') {
    return unavailable(read.failure, output);
  }
  const { stored } = read;
  const found = stored?.version ?? 0;
  if (plan.expected !== undefined && found !== plan.expected) {
    return reportWrite({ kind: 'conflict', version: found }, output);
  }
  const result = await replaceStored(store, outside, stored, configuration);
  const code = reportWrite(result, output);
  return result.kind === 'accepted' && plan.waitSeconds !== undefined
    ? waitInForce(context, result.version, plan.waitSeconds)
    : code;
}

/** Waits until a version is in force on every node that the store names. */
export async function waitInForce(
  context: CommandContext,
  version: number,
  seconds: number,
): Promise<ExitCode> {
  const { store, output } = context;
  const startedAt = performance.now();
  const waitedMs = () => Math.round(performance.now() - startedAt);
  for (;;) {
    const fleet = await readFleet(store);
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
      const names = behind.map(({ node }) => node);
      const cause = fleet.kind === 'known' ? `behind: ${names.join(', ')}` : fleet.failure;
      output.result(
        { version, inForce: false, behind: names, cause },
        () => `Version ${version} is not in force everywhere after ${seconds} s: ${cause}.`,
      );
      return ExitCode.TimedOut;
    }
    await delay(WAIT_POLL_MS);
  }
}
