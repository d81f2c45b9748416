/** What the ingress needs of its node. */
import type { OwnerRecord } from '../directory/owner-entry.js';
import type { Clock } from '../model/clock.js';
import type { SuspendAwareTimers } from '../model/suspendAwareTimers.js';
import type { RouteMatcher } from '../routing/route-matcher.js';
import type { QuotaGate } from '../tenants/quotaGate.js';
import type { ClientAccessContext } from './clientAccess.js';
import type { DispatchContext } from './dispatch.js';
import type { ReadAhead } from './readAhead.js';
import type { RequestRecord } from './requestRecord.js';

/** Dependencies on the node. */
export interface IngressOptions extends DispatchContext, ClientAccessContext {
  readonly clock: Clock;
  readonly timers: SuspendAwareTimers;
  readonly routes: () => RouteMatcher | undefined;
  /** The record of this node. */
  readonly ownRecord: () => OwnerRecord;
  /** Name of the service whose back end runs on this machine. */
  readonly callerService: () => string;
  readonly readAhead: ReadAhead;
  /** Undefined if no quota applies to tenants. */
  readonly quotaGate?: QuotaGate | undefined;
  readonly onFinished: (record: RequestRecord) => void;
}
