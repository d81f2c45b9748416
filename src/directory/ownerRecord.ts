/** Schema of the records by which nodes find one another; objects that do not match are ignored. */
import * as z from 'zod';
import type { OwnerRecord } from './owner-entry.js';

/** `host:port` with a numeric port. */
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

/** True for a record as stored; `node` may be missing, since the object's name is the node's. */
export function isOwnerRecord(value: unknown): value is OwnerRecord {
  return recordSchema.safeParse(value).success;
}

/**
 * Parses another node's list of owners. Invalid records are left out. Undefined if the bytes are
 * not a JSON array.
 */
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
