/** Reads a whole configuration from a YAML file. Every finding has its file and line. */
import { readFileSync } from 'node:fs';
import { isNode, LineCounter, parseDocument } from 'yaml';
import type { Finding } from '../model/finding.js';
import { compilePolicy } from '../policy/placement-policy.js';
import { checkMeshConfiguration, type MeshConfiguration } from '../routing/mesh-configuration.js';

/** Largest accepted file, in bytes. */
const MAX_FILE_BYTES = 4 * 1024 * 1024;

/** Version used for the checks, which require one. `apply` sets the real version. */
const CHECKED_VERSION = 1;

/** The configuration of a file, or all findings about it. */
export interface ConfigurationFile {
  /** Undefined if there are findings. */
  readonly configuration: MeshConfiguration | undefined;
  readonly findings: readonly Finding[];
}

type Fields = Record<string, unknown>;

export function readConfigurationFile(file: string): ConfigurationFile {
  const text = readText(file);
  if (typeof text !== 'string') {
    return { configuration: undefined, findings: [text] };
  }
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  const lineOf = (path: string): number => {
    const keys = path.split('.').map((key) => (/^\d+$/.test(key) ? Number(key) : key));
    for (let length = keys.length; length > 0; length -= 1) {
      const node = document.getIn(keys.slice(0, length), true);
      if (isNode(node) && node.range) {
        return lines.linePos(node.range[0]).line;
      }
    }
    return 1;
  };
  const malformed = document.errors.map((error) => ({
    code: 'malformed-yaml',
    path: '',
    message: error.message.split('\n')[0] ?? error.message,
    file,
    line: lines.linePos(error.pos[0]).line,
  }));
  if (malformed.length > 0) {
    return { configuration: undefined, findings: malformed };
  }
  const { configuration, findings } = checkConfiguration(document.toJS());
  const located = findings.map((finding) => ({ ...finding, file, line: lineOf(finding.path) }));
  return { configuration: located.length > 0 ? undefined : configuration, findings: located };
}

/** Checks the fields, the references, the policies, and that no two routes have the same match. */
function checkConfiguration(parsed: unknown): ConfigurationFile {
  const candidate = { ...withSplits(parsed), version: CHECKED_VERSION };
  return checkMeshConfiguration(candidate).caseOf<ConfigurationFile>({
    Left: (findings) => ({ configuration: undefined, findings }),
    Right: (configuration) => ({
      configuration,
      findings: [...policyFindings(configuration), ...ambiguousRoutes(configuration)],
    }),
  });
}

/** Replaces `service` of a route, the short form for a single service, with a `split`. */
function withSplits(parsed: unknown): Fields {
  const fields = asFields(parsed);
  const routes = Array.isArray(fields.routes) ? fields.routes.map(asFields) : fields.routes;
  if (!Array.isArray(routes)) {
    return { routes: [], services: [], ...fields };
  }
  return {
    services: [],
    ...fields,
    routes: routes.map(({ service, ...route }) =>
      service === undefined ? route : { split: [{ service, weight: 1 }], ...route },
    ),
  };
}

function policyFindings({ policies }: MeshConfiguration): Finding[] {
  return policies.flatMap(({ name, allow }, index) =>
    compilePolicy(name, allow)
      .swap()
      .map(({ code, message }) => [{ code, path: `policies.${index}.allow`, message }])
      .orDefault([]),
  );
}

/** Reports routes with equal host and prefix: which of them matches would depend on their order. */
function ambiguousRoutes({ routes }: MeshConfiguration): Finding[] {
  const nameByMatch = new Map<string, string>();
  return routes.flatMap(({ name, host, pathPrefix }, index) => {
    const hostAndPrefix = `${host.toLowerCase()}${pathPrefix}`;
    const other = nameByMatch.get(hostAndPrefix);
    nameByMatch.set(hostAndPrefix, other ?? name);
    const message = `route ${other} already matches ${hostAndPrefix}`;
    return other === undefined
      ? []
      : [{ code: 'ambiguous-route', path: `routes.${index}.pathPrefix`, message }];
  });
}

function readText(file: string): string | Finding {
  try {
    const bytes = readFileSync(file);
    if (bytes.length > MAX_FILE_BYTES) {
      const message = `the file has ${bytes.length} bytes; at most ${MAX_FILE_BYTES} are read`;
      return { code: 'file-too-large', path: '', message, file };
    }
    return bytes.toString('utf8');
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return { code: 'unreadable-file', path: '', message, file };
  }
}

function asFields(value: unknown): Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
    ? (value as Fields)
    : {};
}
