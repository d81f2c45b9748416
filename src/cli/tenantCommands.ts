/** Commands about tenants. Of an API key they print only the first digits of its digest. */
import { keyDigest } from '../tenants/keyring.js';
import type { MeshTenant } from '../tenants/tenant.js';
import { USAGE_WINDOW_MS } from '../tenants/tenantUsage.js';
import type { CommandContext } from './commands.js';
import { ExitCode } from './exitCode.js';
import { reportRejected, reportUnavailable } from './failures.js';
import { readRecords, readTenantUses } from './fleetStatus.js';
import { tableOf } from './output.js';
import { readStored } from './storedConfiguration.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** A tenant as it is printed, with key digests instead of API keys. */
interface ShownTenant extends Omit<MeshTenant, 'apiKeys'> {
  readonly keys: readonly string[];
}

/** Recent usage of a tenant, summed over all nodes that answer. */
interface FleetUse {
  readonly windowMs: number;
  /** Requests a second that the tenant's limit admitted. */
  readonly admittedPerS: number;
  /** Requests a second that the tenant's limit refused. */
  readonly refusedPerS: number;
  /** Number of nodes that have answered. */
  readonly nodes: number;
  /** Names of the other nodes in the store. */
  readonly outOfReach: readonly string[];
}

/** Prints the tenants of the stored configuration. */
export function listTenants(context: CommandContext): Promise<ExitCode> {
  return withTenants(context, (tenants, version) => show(context, tenants, version));
}

/** Prints one tenant and its recent usage over all nodes. */
export function showTenant(context: CommandContext, name: string): Promise<ExitCode> {
  return withTenants(context, async (tenants, version) => {
    const found = tenants.filter((tenant) => tenant.name === name);
    if (found.length === 0) {
      const message = `version ${version} has no tenant ${name}`;
      return reportRejected([{ code: 'no-tenant', path: 'tenants', message }], context.output);
    }
    const listed = await readRecords(context.store);
    if ('failure' in listed) {
      return reportUnavailable(listed.failure, context.output);
    }
    const usages = await readTenantUses(listed.records);
    const sumOf = (kind: 'admitted' | 'refused'): number =>
      usages
        .flatMap((usage) => usage?.filter((use) => use.name === name) ?? [])
        .reduce((sum, use) => sum + use[kind], 0);
    const perS = (count: number): number => (count * MILLISECONDS_PER_SECOND) / USAGE_WINDOW_MS;
    return show(context, found, version, {
      windowMs: USAGE_WINDOW_MS,
      admittedPerS: perS(sumOf('admitted')),
      refusedPerS: perS(sumOf('refused')),
      nodes: usages.filter((usage) => usage !== undefined).length,
      outOfReach: listed.records.filter((_, index) => !usages[index]).map(({ node }) => node),
    });
  });
}

async function withTenants(
  { store, platform, output }: CommandContext,
  use: (tenants: readonly MeshTenant[], version: number) => ExitCode | Promise<ExitCode>,
): Promise<ExitCode> {
  const read = await readStored(store, platform);
  if (read.kind === 'unavailable') {
    return reportUnavailable(read.failure, output);
  }
  return use(read.stored?.configuration?.tenants ?? [], read.stored?.version ?? 0);
}

function show(
  { output }: CommandContext,
  tenants: readonly MeshTenant[],
  version: number,
  use?: FleetUse,
): ExitCode {
  const shown = tenants.map(
    ({ apiKeys, ...rest }): ShownTenant => ({ ...rest, keys: apiKeys.map(keyDigest) }),
  );
  output.result({ version, tenants: shown, use }, () =>
    shown.length === 0
      ? `Version ${version} has no tenants.`
      : [tableOfTenants(shown), ...(use ? [describeUse(use)] : [])].join('\n'),
  );
  return ExitCode.Ok;
}

function tableOfTenants(tenants: readonly ShownTenant[]): string {
  return tableOf(
    ['TENANT', 'RATE', 'BURST', 'PRIORITY', 'KEYS'],
    tenants.map(({ name, ratePerS, burst, priority, keys }) => [
      name,
      ratePerS === 0 ? 'no limit' : `${ratePerS}/s`,
      burst,
      priority ?? 'of the route',
      keys.join(' '),
    ]),
  );
}

function describeUse({ windowMs, admittedPerS, refusedPerS, nodes, outOfReach }: FleetUse): string {
  const window = `${windowMs / MILLISECONDS_PER_SECOND} s`;
  const missing = outOfReach.length > 0 ? `; unreachable: ${outOfReach.join(', ')}` : '';
  return (
    `In the last ${window}: ${admittedPerS}/s admitted, ${refusedPerS}/s refused by the limit, ` +
    `as reported by ${nodes} nodes${missing}.`
  );
}
