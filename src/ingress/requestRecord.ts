/** The record of a request that has ended, and of its offers. */
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

/** How a request ended, if the node did not refuse it. */
export enum RequestEnding {
  /** The whole answer of a back end has been sent. */
  Answered = 'answered',
  /** The answer was broken off; see {@link AnswerBreak}. */
  Broken = 'answer-broken',
  ClientLeft = 'client-left',
}

/** Why an answer was broken off after its head. */
export enum AnswerBreak {
  /** The back end or its owner has not sent the rest; the last of the offers has the reason. */
  Lost = 'lost',
  /** The client's deadline or the route's timeout has passed. */
  Deadline = 'deadline',
  /** The node has ended. */
  Stopping = 'stopping',
}

/** A request that has ended, for logs and metrics. */
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
  /** Status that was sent to the client. 0 if nothing was. */
  readonly status: number;
  /** A {@link RequestEnding}, or the code of the refusal. */
  readonly code: string;
  /** Present if the code is {@link RequestEnding.Broken}. */
  readonly brokenBy?: AnswerBreak | undefined;
  /** How the client left, if it did before the end of the answer. */
  readonly departure?: Departure | undefined;
  readonly offers: readonly OfferRecord[];
  /** The latest retry and its cost, if there was one. */
  readonly retry?: RetryRecord | undefined;
  /** Milliseconds from the arrival of the head until the last byte of the answer was sent. */
  readonly durationMs: number;
  /** Milliseconds that the request was allowed to take, from its arrival. */
  readonly allowedMs: number;
}
