/**
 * Writes roll-out orders to the store stand-in as an operator does, and reads their status, for
 * tests.
 */
import type { SidecarMesh } from '../lab/sidecar-mesh.js';
import { ROLLOUT_KIND } from '../platform/rollouts.js';

export const ROLLOUT_BOUNDS = { exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000 };

/** Content of an order; the duration is in seconds, as in the store. */
export interface TestOrder {
  readonly service: string;
  readonly targetVersion: string;
  readonly durationS: number;
}

export function orderRollout(mesh: SidecarMesh, { service, targetVersion, durationS }: TestOrder) {
  const order = { service, 'target-version': targetVersion, 'duration-s': durationS };
  mesh.store.put(ROLLOUT_KIND, service, order);
}

/** The status that the system has written. Undefined before the first write. */
export function statusOf(mesh: SidecarMesh, service: string) {
  const object = mesh.store.kind(ROLLOUT_KIND).get(service);
  return object?.status as Record<string, unknown> | undefined;
}

export function hasEnded(mesh: SidecarMesh, service: string): boolean {
  return ['completed', 'rolled_back'].includes(String(statusOf(mesh, service)?.state));
}

/** The last 16 log lines of the deciders, for the message of a failed check. */
export function evidence(mesh: SidecarMesh): string {
  return mesh.machines
    .flatMap(({ lines }) => lines)
    .filter(({ change }) => change === 'decision' || change === 'status')
    .slice(-16)
    .map((line) => JSON.stringify(line))
    .join('\n');
}
