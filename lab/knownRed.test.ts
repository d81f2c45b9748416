import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { testsToRun } from './knownRed.js';

let folder: string;
let file: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'spindlepaddle-known-red-'));
  file = join(folder, 'KNOWN-RED.txt');
});

afterEach(() => rmSync(folder, { recursive: true }));

it('passes over the tests that are named, and no others', () => {
  writeFileSync(
    file,
    'a store (slow) serves | it does not yet | 7\n\na reader ends | too late | 8\n',
  );
  const pattern = testsToRun(file);
  expect(pattern?.test('a store (slow) serves the node')).toBe(false);
  expect(pattern?.test('a reader ends')).toBe(false);
  expect(pattern?.test('a store serves the node')).toBe(true);
  expect(pattern?.test('all of it: a reader ends')).toBe(true);
});

it('passes over none where no file, or an empty one, names any', () => {
  expect(testsToRun(file)).toBeUndefined();
  writeFileSync(file, '\n');
  expect(testsToRun(file)).toBeUndefined();
});

it('takes neither a line without its cause and issue nor more than three', () => {
  writeFileSync(file, 'a reader ends | too late\n');
  expect(() => testsToRun(file)).toThrow('expected "test | cause | issue"');
  writeFileSync(file, 'a | b | 1\n'.repeat(4));
  expect(() => testsToRun(file)).toThrow('at most 3');
});
