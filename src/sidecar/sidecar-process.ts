/** A sidecar process: settings, signals, start and stop. */
import { statSync } from 'node:fs';
import type { DecisionLog } from '../diagnostics/decision-log.js';
import type { SidecarMetrics } from '../diagnostics/sidecar-metrics.js';
import type { NodeClocks } from '../model/nodeClocks.js';
import type { PlatformAdapter } from './platformAdapter.js';
import { SidecarNode } from './sidecar-node.js';
import { checkSidecarSettings, type SidecarSettings } from './sidecar-settings.js';

/** Interval of checks of the settings file, in milliseconds; it may change without a signal. */
const SETTINGS_INTERVAL_MS = 2_000;

/** Exit code for invalid settings. */
const EXIT_SETTINGS = 2;

/** Components of a process. */
export interface SidecarProcess {
  readonly clocks: NodeClocks;
  readonly log: DecisionLog;
  readonly metrics: SidecarMetrics;
  readonly settingsFile: string;
  /** Reads the settings file and translates it into a sidecar's settings, unchecked; may throw. */
  readonly readSettings: () => Promise<unknown>;
  readonly platform: PlatformAdapter;
}

/** Runs until SIGTERM. */
export async function runSidecar(parts: SidecarProcess): Promise<void> {
  const settings = await load(parts);
  if (!settings) {
    process.exitCode = EXIT_SETTINGS;
    return;
  }
  const node = new SidecarNode(settings, parts.platform, parts.clocks, parts.log, parts.metrics);
  process.on('SIGTERM', () => {
    void node.stop().finally(() => process.exit(0));
  });
  process.on('SIGHUP', () => void reload(parts, node));
  process.on('uncaughtException', (error) => {
    parts.log.event('unexpected', { error: String(error.stack ?? error) });
  });
  process.on('unhandledRejection', (error) => {
    parts.log.event('unexpected', { error: String(error) });
  });
  watchSettings(parts, node);
  await node.start();
}

async function load(parts: SidecarProcess): Promise<SidecarSettings | undefined> {
  try {
    return checkSidecarSettings(await parts.readSettings()).caseOf({
      Left: (findings) => {
        parts.log.event('settings-refused', { findings });
        return undefined;
      },
      Right: (settings) => settings,
    });
  } catch (error) {
    parts.log.event('settings-refused', { error: String(error) });
    return undefined;
  }
}

/** Reloads the settings. Invalid ones are logged, and those in force stay. */
async function reload(parts: SidecarProcess, node: SidecarNode): Promise<void> {
  const settings = await load(parts);
  if (settings) {
    node.reload(settings);
  }
}

function watchSettings(parts: SidecarProcess, node: SidecarNode): void {
  let lastModifiedAt = modifiedAt(parts.settingsFile);
  const timer = setInterval(() => {
    const currentModifiedAt = modifiedAt(parts.settingsFile);
    if (currentModifiedAt !== lastModifiedAt) {
      lastModifiedAt = currentModifiedAt;
      void reload(parts, node);
    }
  }, SETTINGS_INTERVAL_MS);
  timer.unref();
}

function modifiedAt(file: string): number {
  try {
    return statSync(file).mtimeMs;
  } catch {
    return 0;
  }
}
