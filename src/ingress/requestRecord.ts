/** The record of a finished request and of its offers. */
import type { QuotaRefusalDetails } from '../tenants/quotaGate.js';
import type { Departure } from './pipelines.js';
import type { RetryRecord } from './requestAccount.js';

/** One offer and its result, for the log. */
export interface OfferRecord {
  readonly owner: string;
  readonly zone: string;
  readonly result: string;
  readonly tookMs: number;
  /** Present if the offer ended after its owner fell silent. Until then, `result` is `silent`. */
  readonly wasSilent?: boolean;
}

/** A finished request, for logs and metrics. */
export interface RequestRecord {
  readonly requestId: string;
  /** See `fingerprintOf`. Empty if the request was refused before its body had arrived. */
  readonly fingerprint: string;
  readonly route: string;
  readonly service: string;
  /** Name of the tenant whose key the request carried. Undefined if none was needed or valid. */
  readonly tenant: string | undefined;
  /** State of the tenant's quota, if it was the reason of a refusal. */
  readonly quota?: QuotaRefusalDetails | undefined;
  /** Version of the configuration that decided on the request. */
  readonly version: number;
  /** Status that was sent to the client. 0 if the client left before. */
  readonly status: number;
  readonly code: string;
  /** How the client left, if it did before the answer. */
  readonly departure?: Departure | undefined;
  readonly offers: readonly OfferRecord[];
  /** The latest retry and its cost, if there was one. */
  readonly retry?: RetryRecord | undefined;
  readonly durationMs: number;
  /** Milliseconds that the request was allowed to take, from its arrival. */
  readonly allowedMs: number;
}
