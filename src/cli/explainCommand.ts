/** The command `explain`: prints how the nodes would handle a request. */
import { type CommandContext, withStoredConfiguration } from './commands.js';
import { ExitCode } from './exitCode.js';
import { type Explanation, explain, type RequestDescription } from './explanation.js';
import { reportRejected, reportUnavailable } from './failures.js';
import { readRecords } from './fleetStatus.js';
import { tableOf } from './output.js';

export async function explainRequest(
  context: CommandContext,
  request: RequestDescription,
): Promise<ExitCode> {
  const listed = await readRecords(context.store);
  if ('failure' in listed) {
    return reportUnavailable(listed.failure, context.output);
  }
  return withStoredConfiguration(context, ({ version, configuration }) => {
    if (!configuration) {
      const message = 'the stored configuration is invalid';
      return reportRejected([{ code: 'invalid', path: '', message }], context.output);
    }
    const { tenant } = request;
    if (tenant !== undefined && !configuration.tenants.some(({ name }) => name === tenant)) {
      const message = `version ${version} has no tenant ${tenant}`;
      return reportRejected([{ code: 'no-tenant', path: 'tenants', message }], context.output);
    }
    const explanation = explain({ ...configuration, version }, listed.records, request);
    context.output.result(explanation, () => describe(explanation));
    return ExitCode.Ok;
  });
}

function describe(explanation: Explanation): string {
  const { version, route, policies, isAmbiguous, owners, access } = explanation;
  const named = policies.length > 0 ? `, policies ${policies.join(', ')}` : '';
  const refused = isAmbiguous ? ' The request is refused: its path is ambiguous.' : '';
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
