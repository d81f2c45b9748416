import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { readConfigurationFile } from './configurationFile.js';

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'spindlepaddle-file-'));
});

afterEach(() => rmSync(folder, { recursive: true }));

function findingsOf(...lines: string[]): [code: string, line: number | undefined][] {
  const file = join(folder, 'mesh.yaml');
  writeFileSync(file, lines.join('\n'));
  const { configuration, findings } = readConfigurationFile(file);
  expect(configuration === undefined).toBe(findings.length > 0);
  return findings.map(({ code, line }) => [code, line]);
}

const ROUTE = '  - { name: a, host: h, pathPrefix: /a/, kind: safe, service: desk';

it('every finding of the form is reported with its line', () => {
  expect(
    findingsOf(
      'services: [{ name: desk }]',
      'routes:',
      '  - name: a',
      '    host: h',
      '    pathPrefix: a',
      '    kind: odd',
      '    service: desk',
    ),
  ).toEqual([
    ['invalid_format', 5],
    ['invalid_value', 6],
  ]);
});

it.each([
  ['a service', `${ROUTE.replace('desk', 'gone')} }`, 'dangling-reference', 3],
  ['a policy', `${ROUTE}, policies: [gone] }`, 'dangling-reference', 3],
  ['a secret', `${ROUTE}, credential: { header: x, secret: gone } }`, 'dangling-reference', 3],
])('%s that is not there is named at the route that needs it', (_what, route, code, line) => {
  expect(findingsOf('services: [{ name: desk }]', 'routes:', route)).toEqual([[code, line]]);
});

it('a policy that cannot be compiled is named, and so are two routes with one match', () => {
  expect(
    findingsOf(
      'services: [{ name: desk }]',
      'policies:',
      '  - { name: p, allow: endpoint.zon == "a" }',
      'routes:',
      `${ROUTE} }`,
      `${ROUTE.replace('name: a', 'name: b')} }`,
    ),
  ).toEqual([
    ['policy-type', 3],
    ['ambiguous-route', 6],
  ]);
});

it('a file that is no YAML, or is not there, is a finding too', () => {
  expect(findingsOf('routes: [')).toMatchObject([['malformed-yaml', 1]]);
  const { findings } = readConfigurationFile(join(folder, 'absent.yaml'));
  expect(findings).toMatchObject([{ code: 'unreadable-file' }]);
});

it('the examples are valid', () => {
  for (const name of ['lektorka', 'kitagawa']) {
    const file = new URL(`../../examples/${name}.yaml`, import.meta.url).pathname;
    expect(readConfigurationFile(file).findings).toEqual([]);
  }
});
