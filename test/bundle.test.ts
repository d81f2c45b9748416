/**
 * Guards against a bundle that does not load. Users run one file that a separate bundler makes, so
 * it can fail to load although the sources load.
 */
import { spawnSync } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { freePort } from '../lab/freePort.js';

/** Exit code of a process whose settings cannot be used. */
const EXIT_SETTINGS = 2;

/** Exit code of a process that cannot start. */
const EXIT_START = 3;

/** Longest time in milliseconds until such a process has ended. */
const RUN_LIMIT_MS = 10_000;

let folder = '';

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'spindlepaddle-bundle-'));
});

afterEach(() => {
  rmSync(folder, { recursive: true });
});

/** Bundles the program and runs it with these settings until it ends. */
function runBundle(text: string) {
  const file = join(folder, 'spindlepaddle.mjs');
  const built = spawnSync('npm', ['run', '--silent', 'bundle', '--', `--outfile=${file}`]);
  expect(built.stderr.toString()).toBe('');
  const settings = join(folder, 'local.yaml');
  writeFileSync(settings, text);
  const run = spawnSync(process.execPath, [file], {
    env: { ...process.env, SPINDLEPADDLE_SETTINGS: settings },
    timeout: RUN_LIMIT_MS,
  });
  expect(run.stderr.toString()).toBe('');
  return run;
}

it('loads and reports settings that it cannot use', () => {
  const run = runBundle('node: "node-1"\nplatform:\n  address: "127.0.0.1:1"\n');
  expect(run.stdout.toString()).toContain('settings-refused');
  expect(run.status).toBe(EXIT_SETTINGS);
});

// Guards against processes that neither serve nor end, as nothing starts them again.
it('ends if it cannot listen at one of its addresses', async () => {
  const taken = net.createServer().listen(0, '127.0.0.1');
  await once(taken, 'listening');
  const { port } = taken.address() as net.AddressInfo;
  const names = ['outbound', 'inbound', 'ready', 'control'];
  const free = await Promise.all(names.map(() => freePort()));
  const listen = names.map(
    (name, index) => `  ${name}: "127.0.0.1:${index === 1 ? port : free[index]}"`,
  );
  const settings = [
    'node: "node-1"',
    'zone: "zone-a"',
    'service: "desk"',
    'app-addr: "127.0.0.1:1"',
    'platform:',
    '  address: "127.0.0.1:1"',
    'listen:',
    ...listen,
  ];
  const run = runBundle(`${settings.join('\n')}\n`);
  taken.close();
  expect(run.stdout.toString()).toContain('start-failed');
  expect(run.status).toBe(EXIT_START);
});
