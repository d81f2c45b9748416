/** What the owner on this machine is given at its start. */
import type { BackEnd } from '../registry/back-end-registry.js';
import type { BackEndRun } from '../rollout/runCounts.js';
import type { RunPermit } from '../rollout/runLimiter.js';
import type { BackEndPresenceOptions } from './back-end-presence.js';
import type { BackEndObservationsContext } from './backEndObservations.js';
import type { MonitoredCallsContext } from './monitoredCalls.js';
import type { TaskRecord } from './owner-report.js';
import type { TenantShare } from './tenantFairness.js';

export interface LocalOwnerOptions
  extends BackEndPresenceOptions,
    MonitoredCallsContext,
    BackEndObservationsContext {
  readonly onBackEnd: (backEnd: BackEnd | undefined, cause: string) => void;
  readonly onTask: (record: TaskRecord) => void;
  /** The back end has ended a request. */
  readonly onRun?: (run: BackEndRun) => void;
  /** A tenant's fair share of a full back end, from 0 to 1: its rate limit over the sum of all tenants' limits. */
  readonly tenantShare?: TenantShare;
  /** Lets a request through to the back end; undefined while a roll-out gives it nothing new. */
  readonly acquirePermit?: () => RunPermit | undefined;
}
