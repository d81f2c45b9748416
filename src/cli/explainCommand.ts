/** Prints how a request would be decided. */
import { type CommandContext, withStoredConfiguration } from './commands.js';
import { ExitCode } from './exitCode.js';
import { type Explanation, explain, type RequestDescription } from './explanation.js';
import { reportRejected, reportUnavailable } from './failures.js';
import { readRecords } from './fleetStatus.js';
import { tableOf } from './output.js';

export async function explainRequest(
  context: CommandContext,
  asked: RequestDescription,
): Promise<ExitCode> {
  const found = await readRecords(context.store);
  if ('failure' in found) {
    return reportUnavailable(found.failure, context.output);
  }
  return withStoredConfiguration(context, ({ version, configuration }) => {
    if (!configuration) {
      const message = 'the stored configuration does not pass the checks';
      return reportRejected([{ code: 'invalid', path: '', message }], context.output);
    }
    const { tenant } = asked;
    if (tenant !== undefined && !configuration.tenants.some(({ name }) => name === tenant)) {
      const message = `version ${version} has no tenant ${tenant}`;
      return reportRejected([{ code: 'no-tenant', path: 'tenants', message }], context.output);
    }
    const explanation = explain({ ...configuration, version }, found.records, asked);
    context.output.result(explanation, () => describe(explanation));
    return ExitCode.Ok;
  });
}

function describe(explanation: Explanation): string {
  const { version, route, policies, isAmbiguous, owners, access } = explanation;
  const named = policies.length > 0 ? `, policies ${policies.join(', ')}` : '';
  const refused = isAmbiguous ? ' The path is ambiguous: it is refused.' : '';
  const head = `Version ${version}: ${route ? `route ${route}${named}` : 'no route'}.${refused}`;
  const lines = [head, ...(access ? [access.message] : [])];
  const rows = owners.map(({ node, zone, service, mayServe }) => [
    node,
    zone,
    service,
    mayServe ? 'yes' : 'no',
  ]);
  return rows.length > 0
    ? [...lines, tableOf(['OWNER', 'ZONE', 'SERVICE', 'MAY SERVE'], rows)].join('\n')
    : lines.join('\n');
}
