/** Dependencies that a node passes to the components of its sidecar. */
import type { DecisionLog } from '../diagnostics/decision-log.js';
import type { SidecarMetrics } from '../diagnostics/sidecar-metrics.js';
import type { NodeClocks } from '../model/nodeClocks.js';
import type { RouteMatcher } from '../routing/route-matcher.js';
import type { PlatformAdapter } from './platformAdapter.js';
import type { SidecarSettings } from './sidecar-settings.js';

export interface SidecarPartsContext {
  /** Returns the settings in force; they may be reloaded. */
  readonly settings: () => SidecarSettings;
  readonly platform: PlatformAdapter;
  readonly clocks: NodeClocks;
  readonly log: DecisionLog;
  readonly metrics: SidecarMetrics;
  /** Called when a configuration has come into force. */
  readonly onApplied: (routes: RouteMatcher, origin: string) => void;
}
