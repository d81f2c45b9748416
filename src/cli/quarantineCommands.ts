/** Commands about requests that are refused because they have crashed back ends. */
import { QUARANTINE_KIND, type QuarantineRecord } from '../directory/quarantineSync.js';
import { Reading } from '../source/object-store.js';
import type { CommandContext } from './commands.js';
import { ExitCode } from './exitCode.js';
import { refuse, unavailable } from './failures.js';
import { tableOf } from './output.js';

/** Prints the quarantines that the store holds. */
export async function listQuarantines({ store, output }: CommandContext): Promise<ExitCode> {
  const listed = await store.list<QuarantineRecord>(QUARANTINE_KIND, Reading.Now);
  if (!listed.ok) {
    return unavailable(listed.failure, output);
  }
  const quarantines = listed.value.items.map(({ name, spec: { caller, crashes } }) => ({
    name,
    caller,
    crashes,
  }));
  output.result({ quarantines }, () =>
    quarantines.length === 0
      ? 'No request is quarantined.'
      : tableOf(
          ['NAME', 'CALLER', 'CRASHES'],
          quarantines.map(({ name, caller, crashes }) => [name, caller, crashes]),
        ),
  );
  return ExitCode.Ok;
}

/** Ends a quarantine: its request runs alone once, and is served again if it runs to its end. */
export async function liftQuarantine(
  { store, output }: CommandContext,
  name: string,
): Promise<ExitCode> {
  const found = await store.get<QuarantineRecord>(QUARANTINE_KIND, name);
  if (!found.ok && found.failure === 'not-found') {
    const message = `no quarantine has the name ${name}`;
    return refuse([{ code: 'no-quarantine', path: '', message }], output);
  }
  const result = found.ok ? await store.remove(QUARANTINE_KIND, name, found.value.revision) : found;
  if (!result.ok) {
    return unavailable(result.failure, output);
  }
  output.result({ lifted: name }, () => `Quarantine ${name} is lifted.`);
  return ExitCode.Ok;
}
