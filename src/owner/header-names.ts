/** Names of the header fields that clients and back ends use; the deployment may rename them. */

/** One name for each meaning; compared without regard to case. */
export interface HeaderNames {
  /** Identity of a client's attempt; a back end echoes it. */
  readonly requestId: string;
  /** Time that is left, in milliseconds. */
  readonly deadline: string;
  /** Proof that an answer is a back end's own. */
  readonly signature: string;
  /** Incarnation that alone may run the request. */
  readonly expectInstance: string;
  /** Load report of a back end: running, waiting, slots. */
  readonly load: string;
  /** Present when a back end did not run the request. */
  readonly notRun: string;
  /** Service on the machine where the request began. */
  readonly callerService: string;
  /** Incarnation that answers a health question. */
  readonly instance: string;
  /** A tenant's key, from clients only. */
  readonly apiKey: string;
  /** Name of the tenant whose key a request carries, for back ends only. */
  readonly tenant: string;
}

/** The product's own names. */
export const DEFAULT_HEADER_NAMES: HeaderNames = {
  requestId: 'X-Request-Id',
  deadline: 'Spindlepaddle-Deadline-Ms',
  signature: 'Spindlepaddle-Signature',
  expectInstance: 'Spindlepaddle-Expect-Instance',
  load: 'Spindlepaddle-Load',
  notRun: 'Spindlepaddle-Not-Run',
  callerService: 'Spindlepaddle-Caller-Service',
  instance: 'Spindlepaddle-Instance',
  apiKey: 'Spindlepaddle-Api-Key',
  tenant: 'Spindlepaddle-Tenant',
};
