/**
 * The priority of a request in one number. It is ordered by the priority of the tenant, and among
 * tenants of equal priority by that of the route.
 */

import { MAX_PRIORITY } from './tenant.js';

/** Number of different priorities in a configuration. */
export const PRIORITY_COUNT = MAX_PRIORITY + 1;

/**
 * A smaller number is more urgent. If there is no tenant, or it has no priority, the priority of
 * the route is used for both.
 */
export function priorityOf(
  tenant: { readonly priority?: number | undefined } | undefined,
  route: { readonly priority: number },
): number {
  return (tenant?.priority ?? route.priority) + route.priority / PRIORITY_COUNT;
}
