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

it('reports each invalid field with its line', () => {
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
])(
  'reports %s that does not exist at the line of the route that refers to it',
  (_what, route, code, line) => {
    expect(findingsOf('services: [{ name: desk }]', 'routes:', route)).toEqual([[code, line]]);
  },
);

it('reports a policy that cannot be compiled, and two routes with the same match', () => {
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

it('reports a file that is not YAML or does not exist', () => {
  expect(findingsOf('routes: [')).toMatchObject([['malformed-yaml', 1]]);
  const { findings } = readConfigurationFile(join(folder, 'absent.yaml'));
  expect(findings).toMatchObject([{ code: 'unreadable-file' }]);
});

it('finds no problem in the examples', () => {
  for (const name of ['lektorka', 'kitagawa']) {
    const file = new URL(`../../examples/${name}.yaml`, import.meta.url).pathname;
    expect(readConfigurationFile(file).findings).toEqual([]);
  }
});
