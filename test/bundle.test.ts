/**
 * Guards against a bundle that does not load. Users run one file that a separate bundler makes, so
 * it can fail to load although the sources load.
 */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, it } from 'vitest';

/** Exit code of a process whose settings cannot be used. */
const EXIT_SETTINGS = 2;

let folder = '';

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'spindlepaddle-bundle-'));
});

afterEach(() => {
  rmSync(folder, { recursive: true });
});

it('loads and reports settings that it cannot use', () => {
  const file = join(folder, 'spindlepaddle.mjs');
  const built = spawnSync('npm', ['run', '--silent', 'bundle', '--', `--outfile=${file}`]);
  expect(built.stderr.toString()).toBe('');
  const settings = join(folder, 'local.yaml');
  writeFileSync(settings, 'node: "node-1"\nplatform:\n  address: "127.0.0.1:1"\n');
  const run = spawnSync(process.execPath, [file], {
    env: { ...process.env, SPINDLEPADDLE_SETTINGS: settings },
  });
  expect(run.stderr.toString()).toBe('');
  expect(run.stdout.toString()).toContain('settings-refused');
  expect(run.status).toBe(EXIT_SETTINGS);
});
