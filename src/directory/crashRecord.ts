/** Schema of the crash records in the store; objects that do not match are ignored. */
import * as z from 'zod';

/** Kind of the records; a record is named after the incarnation that crashed. */
export const CRASH_KIND = 'spindlepaddle-crashes';

const requestSchema = z.object({
  /** See `fingerprintOf`. */
  fingerprint: z.string().min(1),
  /** Service that sent the request. */
  caller: z.string().min(1),
  /** Number of back ends that have crashed while they ran the request. */
  crashes: z.int().nonnegative(),
});

const recordSchema = z.object({
  suspects: z.array(requestSchema).readonly(),
  quarantined: z.array(requestSchema).readonly(),
});

export type CrashedRequest = Readonly<z.infer<typeof requestSchema>>;

/**
 * A crash as stored. Of the requests in flight at the crash it lists only those that had also been
 * in flight at an earlier one.
 */
export type CrashRecord = Readonly<z.infer<typeof recordSchema>>;

export function isCrashRecord(value: unknown): value is CrashRecord {
  return recordSchema.safeParse(value).success;
}
