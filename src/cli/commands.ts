/** The operator's commands that read a file, the stored configuration, or the nodes' status. */
import { stringify as toYaml } from 'yaml';
import type { MeshConfiguration } from '../routing/mesh-configuration.js';
import type { ObjectStore } from '../source/object-store.js';
import { configurationDiff } from './configurationDiff.js';
import { readConfigurationFile } from './configurationFile.js';
import { ExitCode } from './exitCode.js';
import { reportRejected, reportUnavailable } from './failures.js';
import { laggards, type NodeStatus, readFleet } from './fleetStatus.js';
import type { OperatorPlatform } from './operatorPlatform.js';
import { type Output, tableOf } from './output.js';
import { readStored, type StoredConfiguration } from './storedConfiguration.js';

export interface CommandContext {
  readonly platform: OperatorPlatform;
  readonly store: ObjectStore;
  readonly output: Output;
}

/** Checks a file. Needs no store. */
export function validate(file: string, output: Output): ExitCode {
  const { configuration, findings } = readConfigurationFile(file);
  if (!configuration) {
    return reportRejected(findings, output);
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

/** Prints the stored configuration. */
export function get(context: CommandContext): Promise<ExitCode> {
  return withStoredConfiguration(context, ({ version, configuration }) => {
    context.output.result({ version, configuration }, () =>
      `# version ${version}\n${toYaml(withoutVersion(configuration))}`.trimEnd(),
    );
    return ExitCode.Ok;
  });
}

/** Prints the changes that applying a file would make to the stored configuration. */
export function diff(context: CommandContext, file: string): Promise<ExitCode> {
  const { configuration, findings } = readConfigurationFile(file);
  if (!configuration) {
    return Promise.resolve(reportRejected(findings, context.output));
  }
  return withStoredConfiguration(context, (stored) => {
    const changes = configurationDiff(stored.configuration, configuration);
    context.output.result({ version: stored.version, changes }, () =>
      changes.length === 0
        ? `Nothing differs from version ${stored.version}.`
        : changes.map(({ change, kind, name }) => `${change} ${kind} ${name}`.trimEnd()).join('\n'),
    );
    return ExitCode.Ok;
  });
}

/** Prints the version that each node has in force, and the nodes that are behind. */
export async function status(context: CommandContext): Promise<ExitCode> {
  const { platform, store, output } = context;
  const [read, fleet] = await Promise.all([readStored(store, platform), readFleet(store)]);
  if (read.kind === 'unavailable') {
    return reportUnavailable(read.failure, output);
  }
  if (fleet.kind === 'unavailable') {
    return reportUnavailable(fleet.failure, output);
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

/** Runs `use` with the stored configuration. Reports an error if there is none or reading fails. */
export async function withStoredConfiguration(
  { platform, store, output }: CommandContext,
  use: (stored: StoredConfiguration) => ExitCode,
): Promise<ExitCode> {
  const read = await readStored(store, platform);
  if (read.kind === 'unavailable') {
    return reportUnavailable(read.failure, output);
  }
  if (!read.stored) {
    const message = 'the store holds no configuration';
    return reportRejected([{ code: 'no-configuration', path: '', message }], output);
  }
  return use(read.stored);
}

function fleetTable(nodes: readonly NodeStatus[]): string {
  const rows = nodes.map(({ node, zone, service, version, ready }) => [
    node,
    zone,
    service,
    version ?? 'unreachable',
    ready ? 'yes' : 'no',
  ]);
  return tableOf(['NODE', 'ZONE', 'SERVICE', 'VERSION', 'READY'], rows);
}

function withoutVersion(configuration: MeshConfiguration | undefined): object {
  const { version: _version, ...fields } = configuration ?? { version: 0 };
  return fields;
}
