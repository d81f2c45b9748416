/** The operators' command line: parses the arguments and runs the command. */
import yargs, { type Argv } from 'yargs';
import { monotonicClock } from '../model/clock.js';
import { createEraGuard } from '../source/eraGuard.js';
import { apply, waitInForce } from './applyCommand.js';
import { type CommandContext, diff, get, status, validate } from './commands.js';
import { ExitCode } from './exitCode.js';
import { explainRequest } from './explainCommand.js';
import type { OperatorPlatform } from './operatorPlatform.js';
import { createOutput, type Write } from './output.js';
import { liftQuarantine, listQuarantines } from './quarantineCommands.js';
import { addRolloutCommands } from './rolloutCommandLine.js';
import { putSecret } from './secretCommands.js';
import { listTenants, showTenant } from './tenantCommands.js';

const DEFAULT_WAIT_SECONDS = 30;

/** Environment of the program. */
export interface CliContext {
  readonly platform: OperatorPlatform;
  readonly write: Write;
  readonly writeError: Write;
  /** Address of the store if the option `--store` is not given. */
  readonly defaultStore: string | undefined;
}

/** Runs one command and resolves with its exit code. */
export async function runCli(args: readonly string[], context: CliContext): Promise<ExitCode> {
  let code = ExitCode.Usage;
  const run = async (
    options: { readonly store: string; readonly json: boolean },
    command: (context: CommandContext) => Promise<ExitCode>,
  ) => {
    const connected = context.platform.connect(options.store);
    const store = createEraGuard({ clock: monotonicClock, store: connected });
    connected.onEra = store.noteEra;
    const output = createOutput(options.json, context.write, context.writeError);
    code = await command({ platform: context.platform, store, output }).finally(() =>
      store.close(),
    );
  };
  const parser = yargs([...args])
    .scriptName('spindlepaddle')
    .version(false)
    .strict()
    .exitProcess(false)
    .demandCommand(1, 'Name a command.')
    .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
    .fail((message, error, self) => {
      context.writeError(`${message ?? error?.message ?? 'failed'}\n`);
      if (message) {
        self.showHelp((text) => context.writeError(`${text}\n`));
      }
      throw error ?? new Error(message);
    })
    .command(
      'validate <file>',
      'Check a file as a whole configuration; needs no store',
      (options) => options.positional('file', { type: 'string', demandOption: true }),
      ({ file, json }) => {
        code = validate(file, createOutput(json, context.write, context.writeError));
      },
    )
    .command(
      'apply <file>',
      'Replace the whole configuration with a file',
      (options) =>
        withStore(options, context.defaultStore)
          .positional('file', { type: 'string', demandOption: true })
          .option('expect', { type: 'number', describe: 'Version that the file was made from' })
          .option('wait', {
            type: 'boolean',
            default: false,
            describe: 'Wait until in force on all nodes',
          })
          .option('timeout', { type: 'number', default: DEFAULT_WAIT_SECONDS }),
      ({ file, expect, wait, timeout, ...rest }) =>
        run(rest, (command) =>
          apply(command, { file, expected: expect, waitSeconds: wait ? timeout : undefined }),
        ),
    )
    .command(
      'get',
      'Print the configuration that the store holds',
      (options) => withStore(options, context.defaultStore),
      (options) => run(options, get),
    )
    .command(
      'diff <file>',
      'Print the changes that applying a file would make',
      (options) =>
        withStore(options, context.defaultStore).positional('file', {
          type: 'string',
          demandOption: true,
        }),
      ({ file, ...rest }) => run(rest, (command) => diff(command, file)),
    )
    .command(
      'status',
      'Print the version that each node has in force, and the nodes that are behind',
      (options) => withStore(options, context.defaultStore),
      (options) => run(options, status),
    )
    .command(
      'wait <number>',
      'Wait until a version is in force on every node',
      (options) =>
        withStore(options, context.defaultStore)
          .positional('number', { type: 'number', demandOption: true })
          .option('timeout', { type: 'number', default: DEFAULT_WAIT_SECONDS }),
      ({ number, timeout, ...rest }) =>
        run(rest, (command) => waitInForce(command, { version: number }, timeout)),
    )
    .command(
      'explain <host> <path>',
      'Print the route of a request and the owners that may serve it',
      (options) =>
        withStore(options, context.defaultStore)
          .positional('host', { type: 'string', demandOption: true })
          .positional('path', { type: 'string', demandOption: true })
          .option('method', { type: 'string', default: 'GET' })
          .option('zone', { type: 'string', default: '', describe: 'Zone of the client' })
          .option('tenant', { type: 'string', describe: 'Tenant whose key the request has' })
          .option('header', { type: 'string', array: true, default: [] as string[] }),
      ({ host, path, method, zone, tenant, header, ...rest }) =>
        run(rest, (command) =>
          explainRequest(command, { host, path, method, zone, tenant, headers: headersOf(header) }),
        ),
    )
    .command(
      'quarantines',
      'Print the requests that are refused because they have crashed back ends',
      (options) => withStore(options, context.defaultStore),
      (options) => run(options, listQuarantines),
    )
    .command(
      'lift <fingerprint>',
      'End a quarantine: the request runs once alone, and is served if that run completes',
      (options) =>
        withStore(options, context.defaultStore).positional('fingerprint', {
          type: 'string',
          demandOption: true,
        }),
      ({ fingerprint, ...rest }) => run(rest, (command) => liftQuarantine(command, fingerprint)),
    )
    .command(
      'secret <name> <file>',
      'Write the value of a secret and print its digest',
      (options) =>
        withStore(options, context.defaultStore)
          .positional('name', { type: 'string', demandOption: true })
          .positional('file', { type: 'string', demandOption: true }),
      ({ name, file, ...rest }) => run(rest, (command) => putSecret(command, name, file)),
    )
    .command(
      'tenant <action> [name]',
      'Print the tenants with their limits (list), or one with its recent usage (show)',
      (options) =>
        withStore(options, context.defaultStore)
          .positional('action', { choices: ['list', 'show'] as const, demandOption: true })
          .positional('name', { type: 'string' }),
      ({ action, name, ...rest }) =>
        run(rest, (command) =>
          action === 'list' ? listTenants(command) : showTenant(command, name ?? ''),
        ),
    )
    .command('rollout', 'Order a roll-out, or print its state', (options) =>
      addRolloutCommands(withStore(options, context.defaultStore), run),
    );
  try {
    await parser.parseAsync();
  } catch {
    // The handler given to `fail` has printed the error.
    return ExitCode.Usage;
  }
  return code;
}

function withStore<Options>(options: Argv<Options>, defaultStore: string | undefined) {
  return options.option('store', {
    type: 'string',
    demandOption: defaultStore === undefined,
    default: defaultStore as string,
    describe: 'IP:PORT of the object store (SPINDLEPADDLE_STORE)',
  });
}

function headersOf(lines: readonly string[]): Record<string, string> {
  return Object.fromEntries(
    lines.map((text) => {
      const [name = '', ...value] = text.split(':');
      return [name.trim().toLowerCase(), value.join(':').trim()];
    }),
  );
}
