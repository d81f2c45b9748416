/** Runs operators' commands against the store stand-in. */
import { labOperatorOutside } from '../lab/labOutside.js';
import { type MemoryStore, StoreView } from '../lab/memory-store.js';
import { runCli } from '../src/cli/runCli.js';

/** Runs one command on a view of a store and returns its output. The view stays open. */
export async function runCommand(
  store: MemoryStore,
  commandLine: readonly string[],
  view = new StoreView(store),
) {
  const printed: string[] = [];
  const errors: string[] = [];
  const code = await runCli(['--json', ...commandLine], {
    platform: labOperatorOutside(() => view),
    write: (text) => printed.push(text),
    writeError: (text) => errors.push(text),
    defaultStore: '127.0.0.1:1',
  });
  const results = printed.map((text) => JSON.parse(text) as Record<string, unknown>);
  return { code, results, errors };
}
