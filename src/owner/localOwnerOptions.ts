/** Options of the owner on this machine. */
import type { BackEnd } from '../registry/back-end-registry.js';
import type { BackEndRun } from '../rollout/runCounts.js';
import type { RunPermit } from '../rollout/runLimiter.js';
import type { BackEndPresenceOptions } from './back-end-presence.js';
import type { BackEndObservationsContext } from './backEndObservations.js';
import type { CallRates } from './callRates.js';
import type { MonitoredCallsContext } from './monitoredCalls.js';
import type { NoticeHandlerContext } from './noticeHandler.js';
import type { TaskRecord } from './owner-report.js';
import type { TenantShare } from './tenantFairness.js';

export interface LocalOwnerOptions
  extends BackEndPresenceOptions,
    MonitoredCallsContext,
    BackEndObservationsContext,
    Pick<NoticeHandlerContext, 'onNoticeChange' | 'onUnreadableNotice'> {
  /** Shared with the ingress of this node, which sees the calls of the back end. */
  readonly callRates: CallRates;
  /** Number of known machines for each service that runs on them. */
  readonly nodesByService?: () => ReadonlyMap<string, number>;
  /** The state of the back end has changed. */
  readonly onBackEnd: (backEnd: BackEnd | undefined, cause: string) => void;
  /** A task has ended or has been rejected. */
  readonly onTask: (record: TaskRecord) => void;
  /** A run has ended with a result for the back end's version. */
  readonly onRun?: (run: BackEndRun) => void;
  /**
   * A tenant's fair share of a full back end, from 0 to 1: its rate limit divided by the sum of all
   * tenants' limits.
   */
  readonly tenantShare?: TenantShare;
  /**
   * Acquires the roll-out's permit for a request. Undefined while the roll-out allows the back end
   * no new requests.
   */
  readonly acquirePermit?: () => RunPermit | undefined;
}
