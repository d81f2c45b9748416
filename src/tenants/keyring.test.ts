import { describe, expect, it } from 'vitest';
import { AccessKind, decideAccess } from './access.js';
import { createKeyring, keyDigest } from './keyring.js';
import { type MeshTenant, tenantFindings, tenantSchema } from './tenant.js';

const tenant = (fields: object): MeshTenant => tenantSchema.parse(fields);
const ACME = tenant({ name: 'acme', apiKeys: ['acme-old', 'acme-new'] });
const BETA = tenant({ name: 'beta', apiKeys: ['beta-key'], priority: 0 });

describe('a keyring', () => {
  it('finds the tenant of each of its keys, and nobody for any other', () => {
    const keyring = createKeyring([ACME, BETA]);
    const found = ['acme-old', 'acme-new', 'beta-key', 'acme', '', 'ACME-OLD', 'acme-old '].map(
      (key) => keyring.tenantOf(key)?.name,
    );
    expect(found).toEqual(['acme', 'acme', 'beta', undefined, undefined, undefined, undefined]);
  });

  it('shows too little of a key to find it by', () => {
    expect(keyDigest('acme-old')).toMatch(/^[0-9a-f]{8}$/);
    expect(keyDigest('acme-old')).not.toBe(keyDigest('acme-new'));
  });
});

describe('decideAccess', () => {
  const question = {
    keyring: createKeyring([ACME, BETA]),
    isPublic: false,
    keys: [] as string[],
    mayBeStale: false,
    isTooStale: false,
  };

  it.each([
    ['a known key', { keys: ['beta-key'] }, AccessKind.Granted, 'beta'],
    ['an unknown key', { keys: ['other'] }, AccessKind.Denied, undefined],
    ['no key', {}, AccessKind.Denied, undefined],
    ['two keys', { keys: ['beta-key', 'beta-key'] }, AccessKind.Denied, undefined],
    ['two keys in one field', { keys: ['beta-key, acme-old'] }, AccessKind.Denied, undefined],
    ['a public route', { isPublic: true, keys: ['beta-key'] }, AccessKind.Granted, undefined],
    ['an unknown key that may be new', { keys: ['other'], mayBeStale: true }, AccessKind.Uncertain],
    ['no key where the route may be public by now', { mayBeStale: true }, AccessKind.Uncertain],
    ['two keys, whatever is newest', { keys: ['a', 'b'], mayBeStale: true }, AccessKind.Denied],
    ['a key that must be proven', { keys: ['beta-key'], isTooStale: true }, AccessKind.Uncertain],
    ['no tenants', { keyring: createKeyring([]), keys: ['a', 'b'] }, AccessKind.Granted],
  ])('%s', (_case, fields, kind, name = undefined) => {
    const access = decideAccess({ ...question, ...fields });
    expect(access.kind).toBe(kind);
    expect(access.kind === AccessKind.Granted ? access.tenant?.name : undefined).toBe(name);
  });
});

describe('tenantFindings', () => {
  it('names the place of a name or a key that leads to two tenants, and tells no key', () => {
    const thief = tenant({ name: 'thief', apiKeys: ['own', 'beta-key'] });
    const findings = tenantFindings([ACME, BETA, thief, { ...ACME, apiKeys: [] }]);
    expect(findings.map(({ code, path }) => [code, path])).toEqual([
      ['shared-key', 'tenants.2.apiKeys.1'],
      ['duplicate-name', 'tenants.3.name'],
    ]);
    expect(JSON.stringify(findings)).not.toContain('beta-key');
  });

  it('lets a tenant list a key twice', () => {
    expect(tenantFindings([tenant({ name: 'a', apiKeys: ['k', 'k'] })])).toEqual([]);
  });
});
