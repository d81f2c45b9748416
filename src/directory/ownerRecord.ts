/** The record by which a node is found, checked: what another writer left in its place is none. */
import * as z from 'zod';
import type { OwnerRecord } from './owner-entry.js';

/** `host:port`, as a connection can be made to. */
const ADDRESS = /^[^\s:/]+:\d{1,5}$/;

const recordSchema = z.object({
  node: z.string().min(1).optional(),
  address: z.string().regex(ADDRESS),
  zone: z.string().min(1),
  service: z.string().min(1),
  linkMbps: z.number().positive().optional(),
  region: z.string().min(1).optional(),
  labels: z.record(z.string(), z.string()).optional(),
  hasLeft: z.literal(true).optional(),
});

/** True for a record as the store keeps it: the object's name counts as the node's. */
export function isOwnerRecord(value: unknown): value is OwnerRecord {
  return recordSchema.safeParse(value).success;
}

/** The records that another node has told; those that cannot be read are left out. */
export function readOwnerRecords(bytes: Buffer): OwnerRecord[] | undefined {
  try {
    const records: unknown = JSON.parse(bytes.toString('utf8'));
    return Array.isArray(records)
      ? records.filter((record) => isOwnerRecord(record) && record.node !== undefined)
      : undefined;
  } catch {
    return undefined;
  }
}
