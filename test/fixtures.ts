/** Default values for tests; a test overrides only the fields that matter to it. */

import { Cancellation } from '../src/owner/cancellation.js';
import { EMPTY_BODY } from '../src/owner/message-body.js';
import type { OwnerTask } from '../src/owner/owner.js';
import type { PeerReport } from '../src/peer/peerMessages.js';

/** Report of a ready, idle owner of `desk`. */
export function peerReport(overrides: Partial<PeerReport> = {}): PeerReport {
  return {
    service: 'desk',
    ready: true,
    inFlight: 0,
    queued: 0,
    slots: 4,
    meanServiceMs: 10,
    version: 1,
    failureShare: 0,
    backEndVersion: 'v1',
    bornAt: undefined,
    slowness: 1,
    waiting: 0,
    limitPerS: undefined,
    limitWaitMs: 0,
    callRates: undefined,
    ...overrides,
  };
}

/** A read of `desk` without a body that arrived at time 0. */
export function ownerTask(overrides: Partial<OwnerTask> = {}): OwnerTask {
  return {
    requestId: 'r',
    method: 'GET',
    fingerprint: 'f',
    target: '/',
    headers: [],
    service: 'desk',
    route: 'read',
    callerService: 'desk',
    tenant: undefined,
    priority: 1,
    repeatable: true,
    deadlineAt: 1_000,
    targetAt: 500,
    hasBody: false,
    mayWait: true,
    cancellation: new Cancellation(),
    bufferedBody: EMPTY_BODY,
    loadBody: () => Promise.resolve(EMPTY_BODY),
    onProgress: () => {},
    ...overrides,
  };
}
