/** What is told of a request once it has its final answer. */
import type { QuotaRefusalDetails } from '../tenants/quotaGate.js';
import type { OfferRecord } from './dispatch.js';

/** One finished request, for logs and metrics. */
export interface RequestRecord {
  readonly requestId: string;
  /** See `fingerprintOf`; empty when the request was refused before its body was there. */
  readonly fingerprint: string;
  readonly route: string;
  readonly service: string;
  /** Name of the tenant whose key it carried, if one was needed. */
  readonly tenant: string | undefined;
  /** What a refusal over the tenant's limit rests on. */
  readonly quota?: QuotaRefusalDetails | undefined;
  readonly version: number;
  /** Status that the client got; 0 when the client left first. */
  readonly status: number;
  readonly code: string;
  readonly offers: readonly OfferRecord[];
  readonly durationMs: number;
  /** Milliseconds that the client was ready to wait at arrival. */
  readonly allowedMs: number;
}
