/** The lab's command: `npm run lab -- EXPERIMENT [--json]`. Every experiment ends by itself. */
import { writeFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { tableOf } from '../src/cli/output.js';
import { costExperiment } from './costExperiment.js';
import { crashingExperiment } from './crashingExperiment.js';
import { checkDecisionLog } from './decisionLogCheck.js';
import type { ExperimentResult, Row } from './experiment.js';
import { labLog } from './labLog.js';
import { limitTrial } from './limitTrial.js';
import { readLogFile } from './logFile.js';
import { lossGroups, lossPlot } from './losses.js';
import { rolloutExperiment } from './rolloutExperiment.js';
import { sidecarSoak } from './sidecarSoak.js';

/** Fresh seeds are drawn below this number. */
const MAX_SEED = 1_000_000;

function printJson(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}

function printTable(heading: readonly string[], rows: readonly (readonly (string | number)[])[]) {
  process.stdout.write(`${tableOf(heading, rows)}\n`);
}

/** Progress goes to standard error, results to standard output. */
function say(text: string): void {
  labLog.info(text);
}

/** Prints the rows as a table, one figure a line when there are many figures. */
function report(result: ExperimentResult, json: boolean): void {
  if (json) {
    printJson(result);
    return;
  }
  const [first] = result.rows;
  if (!first) {
    return;
  }
  const names = Object.keys(first);
  printTable(
    ['', ...result.rows.map((_, index) => `run ${index + 1}`)],
    names.map((name) => [name, ...result.rows.map((row: Row) => row[name] ?? '-')]),
  );
}

await yargs(hideBin(process.argv))
  .scriptName('lab')
  .strict()
  .demandCommand(1, 'Name an experiment.')
  .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
  .command(
    'check-log FILE',
    'Check the kept decision logs of a mesh against the rules a node can break by itself',
    (options) =>
      options
        .positional('FILE', { type: 'string', demandOption: true })
        .option('unsafe-routes', { type: 'string', array: true, default: [] as string[] })
        .option('attempts', { type: 'number', default: 2, describe: 'Most attempts of a route' }),
    (options) => {
      const lines = readLogFile(options.FILE);
      const breaches = checkDecisionLog(lines, {
        mayRepeat: (route) => !options.unsafeRoutes.includes(route),
        maxAttempts: options.attempts,
        // Nodes of a kept output have clocks of their own, so windows cannot be compared.
        repeatsAllowed: () => Number.POSITIVE_INFINITY,
        windowMs: 0,
      });
      say(`${lines.length} lines, ${breaches.length} breaches`);
      printTable(
        ['rule', 'node', 'at', 'detail'],
        breaches.map(({ rule, node, at, detail }) => [rule, node, at, detail]),
      );
      process.exitCode = breaches.length > 0 ? 1 : 0;
    },
  )
  .command(
    'losses FILE',
    'Which requests were lost, and why, from the kept decision logs of a mesh',
    (options) =>
      options
        .positional('FILE', { type: 'string', demandOption: true })
        .option('plot', { type: 'string', describe: 'Also draw them over time into this SVG file' })
        .option('most', { type: 'number', default: 20, describe: 'Rows to print' }),
    (options) => {
      const lines = readLogFile(options.FILE);
      const groups = lossGroups(lines).slice(0, options.most);
      printTable(
        ['route', 'status', 'code', 'last offer', 'requests', 'offers', 'median ms'],
        groups.map((group) => Object.values(group)),
      );
      if (options.plot) {
        writeFileSync(options.plot, lossPlot(lines));
      }
    },
  )
  .command(
    'cost',
    'Processor time that sidecars spend on a request, in two real processes',
    (options) =>
      options
        .option('cold', { type: 'number', default: 300, describe: 'First requests of a process' })
        .option('warm', { type: 'number', default: 4_000, describe: 'Requests after them' })
        .option('concurrency', { type: 'number', default: 6 })
        .option('node-flags', { type: 'string', array: true, default: [] as string[] }),
    async (options) => report(await costExperiment(options, say), options.json),
  )
  .command(
    'crashing',
    'Back ends that end, and innocent requests, beside requests that crash what runs them',
    (options) =>
      options
        .option('seconds', { type: 'number', default: 25 })
        .option('seed', { type: 'number', default: 1 })
        .option('every-ms', { type: 'number', default: 125, describe: 'From one to the next' })
        .option('kinds', { type: 'number', default: 1, describe: 'Different crashing requests' })
        .option('own-crash-every-ms', {
          type: 'number',
          default: 0,
          describe: 'Back ends also end by themselves so often',
        }),
    async (options) => report(await crashingExperiment(options), options.json),
  )
  .command(
    'rollouts',
    'Many orders of roll-outs in virtual time: what bad versions got, and good ones done in time',
    (options) =>
      options
        .option('orders', { type: 'number', default: 100, describe: 'Of each kind' })
        .option('only', { type: 'string', default: '', describe: 'Kinds whose name holds this' }),
    (options) => {
      const { rows } = rolloutExperiment(options);
      const [first] = rows;
      if (options.json || !first) {
        printJson(rows);
      } else {
        const names = Object.keys(first);
        printTable(
          names,
          rows.map((row) => names.map((name) => row[name] ?? '-')),
        );
      }
    },
  )
  .command(
    'limits',
    'Ways to keep a back end within the limit that it names, in virtual time',
    (options) => options.option('seed', { type: 'number', default: 1 }),
    ({ seed, json }) => {
      const rows = limitTrial(seed);
      if (json) {
        printJson(rows);
      } else {
        printTable(
          ['way', 'limit', 'fullest 4 s', 'allowed', 'used'],
          rows.map((row) => Object.values(row)),
        );
      }
    },
  )
  .command(
    'sidecar-soak',
    'Real sidecar processes under a seeded schedule of faults, the history checked at the end',
    (options) =>
      options
        .option('seed', {
          type: 'number',
          describe: 'Seed of the schedule; a fresh one if left out',
        })
        .option('seconds', { type: 'number', default: 120, describe: 'Length of the faults' })
        .option('nodes', { type: 'number', default: 6, describe: 'Sidecars, in two zones' }),
    async ({ seed = Date.now() % MAX_SEED, seconds, nodes }) => {
      const result = await sidecarSoak({ seed, seconds, nodes }, say);
      printJson(result);
      process.exitCode = result.breaches.length === 0 ? 0 : 1;
    },
  )
  .parseAsync();
