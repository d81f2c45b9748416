/**
 * Tests that fail for a fault that is known and open: KNOWN-RED.txt names them, a line each, as
 * `beginning of the test's full name | cause | issue`. Test runs pass over these and no others.
 */
import { existsSync, readFileSync } from 'node:fs';

/** Matches the full names of the tests that are run; undefined when all are. */
export function testsToRun(file: string): RegExp | undefined {
  const lines = existsSync(file) ? readFileSync(file, 'utf8').split('\n') : [];
  const names = lines.filter((line) => line.trim() !== '').map((line) => nameOf(line, file));
  return names.length === 0 ? undefined : new RegExp(`^(?!${names.map(escaped).join('|')})`);
}

function nameOf(line: string, file: string): string {
  const [name = '', cause = '', issue = ''] = line.split('|').map((part) => part.trim());
  if (name === '' || cause === '' || issue === '') {
    throw new Error(`${file}: expected "test | cause | issue", found "${line}"`);
  }
  return name;
}

function escaped(text: string): string {
  return text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
}
