/** What the parts of a sidecar are given by their node. */
import type { DecisionLog } from '../diagnostics/decision-log.js';
import type { SidecarMetrics } from '../diagnostics/sidecar-metrics.js';
import type { NodeClocks } from '../model/nodeClocks.js';
import type { RouteMatcher } from '../routing/route-matcher.js';
import type { PlatformAdapter } from './platformAdapter.js';
import type { SidecarSettings } from './sidecar-settings.js';

/** What the parts are given. */
export interface SidecarPartsContext {
  /** In force now: they may be reloaded. */
  readonly settings: () => SidecarSettings;
  readonly platform: PlatformAdapter;
  readonly clocks: NodeClocks;
  readonly log: DecisionLog;
  readonly metrics: SidecarMetrics;
  /** A configuration has come into force. */
  readonly onApplied: (routes: RouteMatcher, origin: string) => void;
}
