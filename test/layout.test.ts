/**
 * Checks the layout that CONTRIBUTING describes: folders import only from folders below them, and no
 * file of the product has more than {@link MAX_LINES} lines.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { expect, it } from 'vitest';

const ROOT = new URL('..', import.meta.url).pathname;
const MAX_LINES = 300;

/** Folders from top to bottom. A folder may import only from the folders below it. */
const ORDER = [
  'cli',
  'sidecar',
  'diagnostics',
  'ingress',
  'directory',
  'relay',
  'peer',
  'owner',
  'registry',
  'quarantine',
  'rollout',
  'source',
  'routing',
  'tenants',
  'policy',
  'charts',
  'codec',
  'model',
];

interface SourceFile {
  readonly path: string;
  readonly folder: string;
  readonly text: string;
}

function sourcesOf(folder: string): SourceFile[] {
  const names = readdirSync(join(ROOT, folder), { recursive: true, encoding: 'utf8' });
  return names
    .filter((name) => name.endsWith('.ts') && !name.endsWith('.test.ts'))
    .map((name) => ({
      path: join(folder, name),
      folder: name.split('/')[0] as string,
      text: readFileSync(join(ROOT, folder, name), 'utf8'),
    }));
}

it('folders of the product import downwards only', () => {
  const upward = sourcesOf('src').flatMap(({ path, folder, text }) =>
    [...text.matchAll(/from '\.\.\/([a-z]+)\//g)]
      .map((match) => match[1] as string)
      .filter((target) => ORDER.indexOf(target) <= ORDER.indexOf(folder))
      .map((target) => `${path} imports ${target}`),
  );
  expect(upward).toEqual([]);
  expect([...new Set(sourcesOf('src').map(({ folder }) => folder))].sort()).toEqual(
    [...ORDER].sort(),
  );
});

it('the product imports neither the lab nor the tests nor how a platform speaks', () => {
  const outside = sourcesOf('src').filter(({ text }) =>
    /from '(\.\.\/)+(lab|test|platform)\//.test(text),
  );
  expect(outside.map(({ path }) => path)).toEqual([]);
});

it('no file of the product is longer than a reader can hold', () => {
  const long = [...sourcesOf('src'), ...sourcesOf('platform')]
    .map(({ path, text }) => ({ path, lines: text.split('\n').length - 1 }))
    .filter(({ lines }) => lines > MAX_LINES);
  expect(long).toEqual([]);
});
