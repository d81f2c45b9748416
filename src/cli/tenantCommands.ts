/** Commands about tenants. Of keys they show digests' first digits only. */
import { keyPrint } from '../tenants/keyring.js';
import type { MeshTenant } from '../tenants/tenant.js';
import type { CommandContext } from './commands.js';
import { ExitCode } from './exitCode.js';
import { refuse, unavailable } from './failures.js';
import { tableOf } from './output.js';
import { readStored } from './storedConfiguration.js';

/** A tenant as it is shown. */
interface ShownTenant extends Omit<MeshTenant, 'apiKeys'> {
  readonly keys: readonly string[];
}

/** Prints the tenants of the configuration that the store holds. */
export function listTenants(context: CommandContext): Promise<ExitCode> {
  return withTenants(context, (tenants, version) => show(context, tenants, version));
}

/** Prints one of them. */
export function showTenant(context: CommandContext, name: string): Promise<ExitCode> {
  return withTenants(context, (tenants, version) => {
    const found = tenants.filter((tenant) => tenant.name === name);
    if (found.length > 0) {
      return show(context, found, version);
    }
    const message = `version ${version} has no tenant ${name}`;
    return refuse([{ code: 'no-tenant', path: 'tenants', message }], context.output);
  });
}

async function withTenants(
  { store, outside, output }: CommandContext,
  use: (tenants: readonly MeshTenant[], version: number) => ExitCode,
): Promise<ExitCode> {
  const read = await readStored(store, outside);
  if (read.kind === 'unavailable') {
    return unavailable(read.failure, output);
  }
  return use(read.stored?.configuration?.tenants ?? [], read.stored?.version ?? 0);
}

function show(
  { output }: CommandContext,
  tenants: readonly MeshTenant[],
  version: number,
): ExitCode {
  const shown = tenants.map(
    ({ apiKeys, ...rest }): ShownTenant => ({ ...rest, keys: apiKeys.map(keyPrint) }),
  );
  output.result({ version, tenants: shown }, () =>
    shown.length === 0
      ? `Version ${version} has no tenants.`
      : tableOf(
          ['TENANT', 'RATE', 'BURST', 'PRIORITY', 'KEYS'],
          shown.map(({ name, ratePerS, burst, priority, keys }) => [
            name,
            ratePerS === 0 ? 'no limit' : `${ratePerS}/s`,
            burst,
            priority ?? 'of the route',
            keys.join(' '),
          ]),
        ),
  );
  return ExitCode.Ok;
}
