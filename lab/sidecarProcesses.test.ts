import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, it } from 'vitest';
import { ApplicationStandIn } from './application-stand-in.js';
import { startSidecars } from './sidecarProcesses.js';

/** Processes that were told a settings file in this folder. */
function processesOf(folder: string): string[] {
  return readdirSync('/proc')
    .filter((name) => /^\d+$/.test(name))
    .filter((id) => {
      try {
        return readFileSync(`/proc/${id}/cmdline`, 'utf8').includes(folder);
      } catch {
        // It has ended meanwhile.
        return false;
      }
    });
}

it('leaves no sidecar running when one of them cannot be started', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'spindlepaddle-start-'));
  const applications = [new ApplicationStandIn('desk', 1), new ApplicationStandIn('desk', 1)];
  await Promise.all(applications.map((application) => application.start()));
  const starting = startSidecars({
    applications,
    zones: ['a'],
    folder,
    store: (index) => {
      if (index === 1) {
        throw new Error('no way to the store');
      }
      return '127.0.0.1:1';
    },
    nodeFlags: [],
  });
  await expect(starting).rejects.toThrow('no way to the store');
  expect(processesOf(folder)).toEqual([]);
  for (const application of applications) {
    application.close();
  }
  rmSync(folder, { recursive: true });
});
