/** Compares two configurations item by item, by kind and name. */
import { isDeepStrictEqual } from 'node:util';
import type { MeshConfiguration } from '../routing/mesh-configuration.js';

export enum Change {
  Added = '+',
  Removed = '-',
  Revised = '~',
}

export interface ItemChange {
  readonly change: Change;
  /** The field that holds the item, such as `routes` or `policies`. */
  readonly kind: string;
  readonly name: string;
}

const KINDS = ['routes', 'services', 'policies', 'secrets', 'tenants'] as const;

/** Returns the changes from one configuration to another. Ignores the version. */
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
  const beforeByName = new Map(before.map((item) => [item.name, item]));
  const namesAfter = new Set(after.map(({ name }) => name));
  const removed = before.filter(({ name }) => !namesAfter.has(name));
  const added = after.filter(({ name }) => !beforeByName.has(name));
  const revised = after.filter((item) => {
    const previous = beforeByName.get(item.name);
    return previous !== undefined && !isDeepStrictEqual(previous, item);
  });
  const withChange = (change: Change) => (item: { readonly name: string }) => ({
    change,
    kind,
    name: item.name,
  });
  return [
    ...removed.map(withChange(Change.Removed)),
    ...added.map(withChange(Change.Added)),
    ...revised.map(withChange(Change.Revised)),
  ];
}
