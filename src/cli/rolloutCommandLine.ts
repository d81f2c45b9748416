/** Command line of the `rollout` commands. */
import type { Argv } from 'yargs';
import type { CommandContext } from './commands.js';
import type { ExitCode } from './exitCode.js';
import { rolloutStatus, startRollout, watchRollout } from './rolloutCommands.js';

const DEFAULT_WATCH_SECONDS = 120;

const MILLISECONDS_PER_SECOND = 1_000;

/** Runs a command on a store. */
export type CommandRunner = (
  options: { readonly store: string; readonly json: boolean },
  command: (context: CommandContext) => Promise<ExitCode>,
) => Promise<void>;

/** Adds `start`, `status` and `watch`. */
export function addRolloutCommands(
  parser: Argv<{ store: string; json: boolean }>,
  run: CommandRunner,
): Argv<{ store: string; json: boolean }> {
  return parser
    .demandCommand(1, 'Name a command: start, status or watch.')
    .command(
      'start <service> <target>',
      'Order that the traffic of a service is moved to back ends of a version',
      (options) =>
        options
          .positional('service', { type: 'string', demandOption: true })
          .positional('target', { type: 'string', demandOption: true, describe: 'The version' })
          .option('duration', { type: 'number', demandOption: true, describe: 'Seconds' })
          .option('replace', {
            type: 'boolean',
            default: false,
            describe: 'Replace a running order',
          }),
      ({ service, target, duration, replace, ...rest }) =>
        run(rest, (command) =>
          startRollout(command, {
            service,
            targetVersion: target,
            durationMs: duration * MILLISECONDS_PER_SECOND,
            replaces: replace,
          }),
        ),
    )
    .command(
      'status [service]',
      'Print the orders and their states',
      (options) => options.positional('service', { type: 'string' }),
      ({ service, ...rest }) => run(rest, (command) => rolloutStatus(command, service)),
    )
    .command(
      'watch <service>',
      'Print each state of an order until it ends',
      (options) =>
        options
          .positional('service', { type: 'string', demandOption: true })
          .option('timeout', { type: 'number', default: DEFAULT_WATCH_SECONDS }),
      ({ service, timeout, ...rest }) =>
        run(rest, (command) => watchRollout(command, service, timeout)),
    );
}
