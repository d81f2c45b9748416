import { expect, it } from 'vitest';
import type { Owner } from '../owner/owner.js';
import { OwnerDirectory } from './owner-directory.js';
import { OwnerEntry } from './owner-entry.js';
import { createQuotaMembers } from './quotaMembers.js';

const NO_OWNER: Owner = { run: () => Promise.reject(new Error('not used')) };

it('keeps a node for two minutes without a record, and the same array until a change', () => {
  let now = 0;
  const directory = new OwnerDirectory('a', (each) => new OwnerEntry(each, NO_OWNER));
  const put = (node: string) =>
    directory.put({ node, address: `10.0.0.1:${node}`, zone: 'a', service: 'desk' });
  const members = createQuotaMembers(directory, { now: () => now });
  const names = () => members.list().map(({ node }) => node);
  put('2');
  put('1');
  expect(names()).toEqual(['1', '2']);
  const before = members.list();
  now = 60_000;
  expect(members.list()).toBe(before);
  directory.remove('1');
  now = 180_000;
  expect(names()).toEqual(['1', '2']);
  now = 180_001;
  expect(names()).toEqual(['2']);
  put('1');
  expect(names()).toEqual(['1', '2']);
});

it('removes a node that has marked its departure, until it is back', () => {
  const directory = new OwnerDirectory('a', (each) => new OwnerEntry(each, NO_OWNER));
  const put = (node: string) =>
    directory.put({ node, address: `10.0.0.1:${node}`, zone: 'a', service: 'desk' });
  const members = createQuotaMembers(directory, { now: () => 0 });
  const names = () => members.list().map(({ node }) => node);
  put('1');
  put('2');
  expect(names()).toEqual(['1', '2']);
  directory.remove('1');
  members.noteLeft('1');
  expect(names()).toEqual(['2']);
  put('1');
  expect(names()).toEqual(['1', '2']);
});
