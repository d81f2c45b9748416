/** How the fields of a task travel between nodes: as a list, in a fixed order. */
import { NO_FINGERPRINT } from '../quarantine/fingerprint.js';
import type { TaskFields } from './peerMessages.js';

/** Renders the fields as a list. */
export function listOfTask(task: TaskFields): unknown[] {
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
    task.hasWaited,
  ];
}

/** Reads a list; undefined when it holds no task. */
export function readTask(value: unknown): TaskFields | undefined {
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
    remaining,
    target,
    id,
    mayWait,
    fingerprint,
    tenant,
    hasWaited,
  ] = value as unknown[];
  if (typeof service !== 'string' || typeof id !== 'string') {
    return undefined;
  }
  return {
    service,
    route: String(route),
    callerService: String(caller),
    priority: Number(priority),
    repeatable: repeatable === true,
    hasBody: hasBody === true,
    remainingMs: Number(remaining),
    targetMs: Number(target),
    requestId: id,
    mayWait: mayWait === true,
    hasWaited: hasWaited === true,
    tenant: typeof tenant === 'string' ? tenant : undefined,
    fingerprint: typeof fingerprint === 'string' ? fingerprint : NO_FINGERPRINT,
  };
}
