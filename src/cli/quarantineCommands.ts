/** Commands about quarantines: requests that are refused because they have crashed back ends. */
import { CRASH_KIND, type CrashRecord, isCrashRecord } from '../directory/crashRecord.js';
import { type ObjectStore, ReadConsistency } from '../source/object-store.js';
import type { CommandContext } from './commands.js';
import { ExitCode } from './exitCode.js';
import { reportFailedWrite, reportRejected, reportUnavailable } from './failures.js';
import { tableOf } from './output.js';

/** Prints the quarantines in the store. */
export async function listQuarantines({ store, output }: CommandContext): Promise<ExitCode> {
  const listed = await readCrashes(store);
  if (!listed.ok) {
    return reportUnavailable(listed.failure, output);
  }
  const quarantines = listed.value.items.flatMap(({ name, spec }) =>
    spec.quarantined.map(({ fingerprint, caller, crashes }) => ({
      fingerprint,
      caller,
      crashes,
      instance: name,
    })),
  );
  output.result({ quarantines }, () =>
    quarantines.length === 0
      ? 'No request is quarantined.'
      : tableOf(
          ['FINGERPRINT', 'CALLER', 'CRASHES', 'INSTANCE'],
          quarantines.map((entry) => Object.values(entry)),
        ),
  );
  return ExitCode.Ok;
}

/**
 * Ends the quarantines of a request. The request then runs alone once, and is served again if that
 * run completes.
 */
export async function liftQuarantine(
  { store, output }: CommandContext,
  fingerprint: string,
): Promise<ExitCode> {
  const listed = await readCrashes(store);
  if (!listed.ok) {
    return reportUnavailable(listed.failure, output);
  }
  const records = listed.value.items.filter(({ spec }) =>
    spec.quarantined.some((entry) => entry.fingerprint === fingerprint),
  );
  if (records.length === 0) {
    const message = `no request with the fingerprint ${fingerprint} is quarantined`;
    return reportRejected([{ code: 'no-quarantine', path: '', message }], output);
  }
  for (const { name, revision } of records) {
    const result = await store.remove(CRASH_KIND, name, revision);
    if (!result.ok) {
      return reportFailedWrite(result.failure, output);
    }
  }
  output.result({ lifted: fingerprint }, () => `The quarantine of ${fingerprint} is lifted.`);
  return ExitCode.Ok;
}

/** Lists the crash records. Skips invalid objects, which another writer may have stored. */
async function readCrashes(store: ObjectStore) {
  const listed = await store.list<CrashRecord>(CRASH_KIND, ReadConsistency.Strong);
  if (!listed.ok) {
    return listed;
  }
  const items = listed.value.items.filter(({ spec }) => isCrashRecord(spec));
  return { ...listed, value: { ...listed.value, items } };
}
