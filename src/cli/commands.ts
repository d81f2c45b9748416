/** The operator's commands: each reads or replaces the store's one configuration, or asks the nodes. */
import { readFileSync } from 'node:fs';
import { setTimeout as delay } from 'node:timers/promises';
import { stringify as toYaml } from 'yaml';
import { secretDigest } from '../routing/completeConfiguration.js';
import type { MeshConfiguration } from '../routing/mesh-configuration.js';
import { type ObjectStore, Reading } from '../source/object-store.js';
import { SECRET_KIND, type SecretObject } from '../source/supplier.js';
import { configurationDiff } from './configurationDiff.js';
import { readConfigurationFile } from './configurationFile.js';
import { ExitCode } from './exitCode.js';
import { refuse, unavailable } from './failures.js';
import { laggards, type NodeStatus, readFleet } from './fleetStatus.js';
import type { OperatorOutside } from './operatorOutside.js';
import { type Output, tableOf } from './output.js';
import { readStored, replaceStored, type Stored, type WriteResult } from './storedConfiguration.js';

/** Pause between two looks at the nodes while waiting, in milliseconds. */
const WAIT_POLL_MS = 200;

const MILLISECONDS_PER_SECOND = 1_000;

/** What every command is given. */
export interface CommandContext {
  readonly outside: OperatorOutside;
  readonly store: ObjectStore;
  readonly output: Output;
}

/** How `apply` goes about it. */
export interface ApplyPlan {
  readonly file: string;
  /** Version that the operator has last seen; anything else in the store is a conflict. */
  readonly expected: number | undefined;
  /** Seconds to wait until the version is in force everywhere; undefined not to wait. */
  readonly waitSeconds: number | undefined;
}

/** Checks a file; needs no store. */
export function validate(file: string, output: Output): ExitCode {
  const { configuration, findings } = readConfigurationFile(file);
  if (!configuration) {
    return refuse(findings, output);
  }
  const { routes, services, policies, secrets } = configuration;
  output.result(
    {
      valid: true,
      routes: routes.length,
      services: services.length,
      policies: policies.length,
      secrets: secrets.length,
    },
    () =>
      `${file} is valid: ${routes.length} routes, ${services.length} services, ` +
      `${policies.length} policies, ${secrets.length} secrets.`,
  );
  return ExitCode.Ok;
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

/** Prints the configuration that the store holds. */
export function get(context: CommandContext): Promise<ExitCode> {
  return withStored(context, ({ version, configuration }) => {
    context.output.result({ version, configuration }, () =>
      `# version ${version}\n${toYaml(withoutVersion(configuration))}`.trimEnd(),
    );
    return ExitCode.Ok;
  });
}

/** Prints what a file would change. */
export function diff(context: CommandContext, file: string): Promise<ExitCode> {
  const { configuration, findings } = readConfigurationFile(file);
  if (!configuration) {
    return Promise.resolve(refuse(findings, context.output));
  }
  return withStored(context, (stored) => {
    const changes = configurationDiff(stored.configuration, configuration);
    context.output.result({ version: stored.version, changes }, () =>
      changes.length === 0
        ? `Nothing differs from version ${stored.version}.`
        : changes.map(({ change, kind, name }) => `${change} ${kind} ${name}`.trimEnd()).join('\n'),
    );
    return ExitCode.Ok;
  });
}

/** Prints which version each node has in force, and who is behind. */
export async function status(context: CommandContext): Promise<ExitCode> {
  const { outside, store, output } = context;
  const [read, fleet] = await Promise.all([readStored(store, outside), readFleet(store)]);
  if (read.kind === 'unavailable') {
    return unavailable(read.failure, output);
  }
  if (fleet.kind === 'unavailable') {
    return unavailable(fleet.failure, output);
  }
  const version = read.stored?.version ?? 0;
  const { nodes } = fleet;
  const behind = laggards(nodes, version).map(({ node }) => node);
  output.result({ version, nodes, behind }, () =>
    [`Version ${version} is the newest; ${behind.length} of ${nodes.length} nodes are behind.`]
      .concat(nodes.length > 0 ? fleetTable(nodes) : [])
      .join('\n'),
  );
  return ExitCode.Ok;
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

/** Writes the value of a secret and prints the digest by which a configuration names it. */
export async function putSecret(
  { store, output }: CommandContext,
  name: string,
  file: string,
): Promise<ExitCode> {
  const value = readFileSync(file, 'utf8').trimEnd();
  const listed = await store.list<SecretObject>(SECRET_KIND, Reading.Now);
  if (!listed.ok) {
    return unavailable(listed.failure, output);
  }
  const known = listed.value.items.find((item) => item.name === name);
  const result = known
    ? await store.replace<SecretObject>(SECRET_KIND, { ...known, spec: { value } })
    : await store.create<SecretObject>(SECRET_KIND, name, { value });
  if (!result.ok) {
    return result.failure === 'conflict'
      ? reportWrite({ kind: 'conflict', version: undefined }, output)
      : unavailable(result.failure, output);
  }
  const digest = secretDigest(value);
  output.result({ name, digest }, () => `Secret ${name} has the digest ${digest}.`);
  return ExitCode.Ok;
}

/** Reads what the store holds; says so if it cannot be read or is not there. */
export async function withStored(
  { outside, store, output }: CommandContext,
  use: (stored: Stored) => ExitCode,
): Promise<ExitCode> {
  const read = await readStored(store, outside);
  if (read.kind === 'unavailable') {
    return unavailable(read.failure, output);
  }
  if (!read.stored) {
    const message = 'the store holds no configuration';
    return refuse([{ code: 'no-configuration', path: '', message }], output);
  }
  return use(read.stored);
}

function reportWrite(result: WriteResult, output: Output): ExitCode {
  output.result(result, () => describeWrite(result));
  switch (result.kind) {
    case 'accepted':
      return ExitCode.Ok;
    case 'conflict':
      return ExitCode.Conflict;
    case 'rejected':
      return ExitCode.Rejected;
    case 'unavailable':
      return ExitCode.Unavailable;
    default:
      return ExitCode.Unknown;
  }
}

function describeWrite(result: WriteResult): string {
  switch (result.kind) {
    case 'accepted':
      return `Accepted as version ${result.version}.`;
    case 'conflict':
      return (
        `Somebody else has changed it: the store is at version ${result.version ?? '?'}. ` +
        'Nothing was written.'
      );
    case 'unknown':
      return 'It is not known whether the change was written: apply the same file again.';
    default:
      return `Not written: the store says ${result.failure}.`;
  }
}

function fleetTable(nodes: readonly NodeStatus[]): string {
  const rows = nodes.map(({ node, zone, service, version, ready }) => [
    node,
    zone,
    service,
    version ?? 'out of reach',
    ready ? 'yes' : 'no',
  ]);
  return tableOf(['NODE', 'ZONE', 'SERVICE', 'VERSION', 'READY'], rows);
}

function withoutVersion(configuration: MeshConfiguration | undefined): object {
  const { version: _version, ...rest } = configuration ?? { version: 0 };
  return rest;
}
