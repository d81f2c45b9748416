/** The records of crashes in the store, checked: what another writer left in their place is none. */
import * as z from 'zod';

/** Kind of the records; each has the name of the back end's life that ended. */
export const CRASH_KIND = 'spindlepaddle-crashes';

const requestSchema = z.object({
  /** See `fingerprintOf`. */
  fingerprint: z.string().min(1),
  /** Service that the request came from. */
  caller: z.string().min(1),
  /** Back ends that had crashed under the request. */
  crashes: z.int().nonnegative(),
});

const recordSchema = z.object({
  suspects: z.array(requestSchema).readonly(),
  quarantined: z.array(requestSchema).readonly(),
});

export type CrashedRequest = Readonly<z.infer<typeof requestSchema>>;

/** A crash as the store keeps it: of what was under way, that which had been under a crash before. */
export type CrashRecord = Readonly<z.infer<typeof recordSchema>>;

export function isCrashRecord(value: unknown): value is CrashRecord {
  return recordSchema.safeParse(value).success;
}
