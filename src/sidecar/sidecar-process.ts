/** A sidecar process: settings, signals, start and stop. */
import { statSync } from 'node:fs';
import type { DecisionLog } from '../diagnostics/decision-log.js';
import type { SidecarMetrics } from '../diagnostics/sidecar-metrics.js';
import type { NodeClocks } from '../model/nodeClocks.js';
import type { PlatformAdapter } from './platformAdapter.js';
import { SidecarNode } from './sidecar-node.js';
import { checkSidecarSettings, type SidecarSettings } from './sidecar-settings.js';

/** Interval of checks of the settings file, in milliseconds. The file may change without SIGHUP. */
const SETTINGS_INTERVAL_MS = 2_000;

/** Exit code for invalid settings. */
const EXIT_SETTINGS = 2;

/** Exit code if the node cannot start, for example because an address is in use. */
const EXIT_START = 3;

/** Time in milliseconds for the last log lines of a process that cannot start. */
const LAST_LINES_MS = 100;

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

/**
 * Starts a node, which then runs until SIGTERM. Resolves when it has started. With invalid
 * settings, it starts no node and sets the exit code. A node that cannot start ends the process.
 */
export async function runSidecar(sidecarProcess: SidecarProcess): Promise<void> {
  const settings = await load(sidecarProcess);
  if (!settings) {
    process.exitCode = EXIT_SETTINGS;
    return;
  }
  const node = new SidecarNode(
    settings,
    sidecarProcess.platform,
    sidecarProcess.clocks,
    sidecarProcess.log,
    sidecarProcess.metrics,
  );
  process.on('SIGTERM', () => {
    void node.stop().finally(() => process.exit(0));
  });
  process.on('SIGHUP', () => void reload(sidecarProcess, node));
  process.on('uncaughtException', (error) => {
    sidecarProcess.log.event('unexpected', { error: String(error.stack ?? error) });
  });
  process.on('unhandledRejection', (error) => {
    sidecarProcess.log.event('unexpected', { error: String(error) });
  });
  watchSettings(sidecarProcess, node);
  try {
    await node.start();
  } catch (error) {
    sidecarProcess.log.event('start-failed', { error: String(error) });
    node.close();
    setTimeout(() => process.exit(EXIT_START), LAST_LINES_MS);
  }
}

async function load(sidecarProcess: SidecarProcess): Promise<SidecarSettings | undefined> {
  try {
    return checkSidecarSettings(await sidecarProcess.readSettings()).caseOf({
      Left: (findings) => {
        sidecarProcess.log.event('settings-refused', { findings });
        return undefined;
      },
      Right: (settings) => settings,
    });
  } catch (error) {
    sidecarProcess.log.event('settings-refused', { error: String(error) });
    return undefined;
  }
}

/** Reloads the settings. Invalid ones are logged, and those in force stay. */
async function reload(sidecarProcess: SidecarProcess, node: SidecarNode): Promise<void> {
  const settings = await load(sidecarProcess);
  if (settings) {
    node.reload(settings);
  }
}

function watchSettings(sidecarProcess: SidecarProcess, node: SidecarNode): void {
  let lastModifiedAt = modifiedAt(sidecarProcess.settingsFile);
  const timer = setInterval(() => {
    const currentModifiedAt = modifiedAt(sidecarProcess.settingsFile);
    if (currentModifiedAt !== lastModifiedAt) {
      lastModifiedAt = currentModifiedAt;
      void reload(sidecarProcess, node);
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
