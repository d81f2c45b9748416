/** Encodes and decodes the fields of a task as a list in a fixed order. */
import { isNonNegativeNumber } from '../codec/numberGuards.js';
import { NO_FINGERPRINT } from '../quarantine/fingerprint.js';
import type { TaskFields } from './peerMessages.js';

/** Encodes the fields as a list. */
export function encodeTask(task: TaskFields): unknown[] {
  return [
    task.service,
    task.route,
    task.callerService,
    task.priority,
    task.repeatable,
    task.hasBody,
    task.remainingMs,
    task.targetMs,
    task.requestId,
    task.mayWait,
    task.fingerprint,
    task.tenant,
  ];
}

/** Decodes a list. Undefined if it does not hold the fields of a task. */
export function decodeTask(value: unknown): TaskFields | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [
    service,
    route,
    caller,
    priority,
    repeatable,
    hasBody,
    remainingMs,
    targetMs,
    id,
    mayWait,
    fingerprint,
    tenant,
  ] = value as unknown[];
  if (typeof service !== 'string' || typeof id !== 'string') {
    return undefined;
  }
  if (typeof route !== 'string' || typeof caller !== 'string' || !isNonNegativeNumber(priority)) {
    return undefined;
  }
  // Either is negative once its time has passed.
  if (!Number.isFinite(remainingMs) || !Number.isFinite(targetMs)) {
    return undefined;
  }
  return {
    service,
    route,
    callerService: caller,
    priority,
    repeatable: repeatable === true,
    hasBody: hasBody === true,
    remainingMs: remainingMs as number,
    targetMs: targetMs as number,
    requestId: id,
    mayWait: mayWait === true,
    tenant: typeof tenant === 'string' ? tenant : undefined,
    fingerprint: typeof fingerprint === 'string' ? fingerprint : NO_FINGERPRINT,
  };
}
