/** The command `secret`. A configuration refers to a secret by its digest. */
import { readFileSync } from 'node:fs';
import { secretDigest } from '../routing/configurationDependencies.js';
import { SECRET_KIND, type SecretObject } from '../source/dependencyLoader.js';
import { ReadConsistency } from '../source/object-store.js';
import type { CommandContext } from './commands.js';
import { ExitCode } from './exitCode.js';
import { reportFailedWrite, reportUnavailable } from './failures.js';
import { reportWrite } from './writeReport.js';

/** Writes the value of a secret and prints the digest to use in a configuration. */
export async function putSecret(
  { store, output }: CommandContext,
  name: string,
  file: string,
): Promise<ExitCode> {
  const value = readFileSync(file, 'utf8').trimEnd();
  const listed = await store.list<SecretObject>(SECRET_KIND, ReadConsistency.Strong);
  if (!listed.ok) {
    return reportUnavailable(listed.failure, output);
  }
  const existing = listed.value.items.find((item) => item.name === name);
  const result = existing
    ? await store.replace<SecretObject>(SECRET_KIND, { ...existing, spec: { value } })
    : await store.create<SecretObject>(SECRET_KIND, name, { value });
  if (!result.ok) {
    return result.failure === 'conflict'
      ? reportWrite({ kind: 'conflict', version: undefined }, output)
      : reportFailedWrite(result.failure, output);
  }
  const digest = secretDigest(value);
  output.result({ name, digest }, () => `Secret ${name} has the digest ${digest}.`);
  return ExitCode.Ok;
}
