/** Names of the header fields that clients and back ends use. The deployment may rename them. */

/** One name per meaning. Names are compared case-insensitively. */
export interface HeaderNames {
  /** Id of a client's attempt. A back end echoes it. */
  readonly requestId: string;
  /** Time until the deadline, in milliseconds. */
  readonly deadline: string;
  /** Signature that proves that an answer comes from a back end. */
  readonly signature: string;
  /** Instance id of the only back end that may run the request. */
  readonly expectInstance: string;
  /** Load report of a back end: running, waiting, slots and optionally slowness. */
  readonly load: string;
  /** Requests per second that a back end in need accepts from all nodes together. */
  readonly limit: string;
  /** Present, with the value 1, if a back end is leaving. */
  readonly leaving: string;
  /** Present if a back end did not run the request. */
  readonly notRun: string;
  /** Service on the machine where the request began. */
  readonly callerService: string;
  /** Instance id of the back end that answers a health check. */
  readonly instance: string;
  /** Key of a tenant; sent by clients only. */
  readonly apiKey: string;
  /** Name of the tenant whose key a request carries; sent to back ends only. */
  readonly tenant: string;
}

/** The default names. */
export const DEFAULT_HEADER_NAMES: HeaderNames = {
  requestId: 'X-Request-Id',
  deadline: 'Spindlepaddle-Deadline-Ms',
  signature: 'Spindlepaddle-Signature',
  expectInstance: 'Spindlepaddle-Expect-Instance',
  load: 'Spindlepaddle-Load',
  limit: 'Spindlepaddle-Limit',
  leaving: 'Spindlepaddle-Leaving',
  notRun: 'Spindlepaddle-Not-Run',
  callerService: 'Spindlepaddle-Caller-Service',
  instance: 'Spindlepaddle-Instance',
  apiKey: 'Spindlepaddle-Api-Key',
  tenant: 'Spindlepaddle-Tenant',
};
