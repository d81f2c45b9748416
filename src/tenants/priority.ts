/** How urgent a request is, in one number: that of its tenant first, and among equals that of its route. */

import { MAX_PRIORITY } from './tenant.js';

/** Number of the priorities that a configuration may give. */
export const PRIORITY_COUNT = MAX_PRIORITY + 1;

/** Smaller is more urgent; without a tenant's own priority, the route's stands for both. */
export function priorityOf(
  tenant: { readonly priority?: number | undefined } | undefined,
  route: { readonly priority: number },
): number {
  return (tenant?.priority ?? route.priority) + route.priority / PRIORITY_COUNT;
}
