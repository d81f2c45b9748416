/** What differs between two configurations, by kind and name. */
import { isDeepStrictEqual } from 'node:util';
import type { MeshConfiguration } from '../routing/mesh-configuration.js';

/** What happened to one item. */
export enum Change {
  Added = '+',
  Removed = '-',
  Revised = '~',
}

export interface ItemChange {
  readonly change: Change;
  /** Such as `routes` or `policies`. */
  readonly kind: string;
  readonly name: string;
}

const KINDS = ['routes', 'services', 'policies', 'secrets', 'tenants'] as const;

/** Changes from one configuration to another; the version does not count. */
export function configurationDiff(
  before: MeshConfiguration | undefined,
  after: MeshConfiguration,
): ItemChange[] {
  const changes = KINDS.flatMap((kind) => diffOf(kind, before?.[kind] ?? [], after[kind]));
  const hasNewLimits = before !== undefined && !isDeepStrictEqual(before.limits, after.limits);
  const limits = { change: Change.Revised, kind: 'limits', name: '' };
  return hasNewLimits ? [...changes, limits] : changes;
}

function diffOf(
  kind: string,
  before: readonly { readonly name: string }[],
  after: readonly { readonly name: string }[],
): ItemChange[] {
  const known = new Map(before.map((item) => [item.name, item]));
  const present = new Set(after.map(({ name }) => name));
  const removed = before.filter(({ name }) => !present.has(name));
  const added = after.filter(({ name }) => !known.has(name));
  const revised = after.filter((item) => {
    const old = known.get(item.name);
    return old !== undefined && !isDeepStrictEqual(old, item);
  });
  const as = (change: Change) => (item: { readonly name: string }) => ({
    change,
    kind,
    name: item.name,
  });
  return [
    ...removed.map(as(Change.Removed)),
    ...added.map(as(Change.Added)),
    ...revised.map(as(Change.Revised)),
  ];
}
