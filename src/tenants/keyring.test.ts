import { describe, expect, it } from 'vitest';
import { AccessKind, decideAccess } from './access.js';
import { createKeyring, keyDigest } from './keyring.js';
import { type MeshTenant, tenantFindings, tenantSchema } from './tenant.js';

const tenant = (fields: object): MeshTenant => tenantSchema.parse(fields);
const ACME = tenant({ name: 'acme', apiKeys: ['acme-old', 'acme-new'] });
const BETA = tenant({ name: 'beta', apiKeys: ['beta-key'], priority: 0 });

describe('a keyring', () => {
  it('returns the tenant of each of its keys, and undefined for any other key', () => {
    const keyring = createKeyring([ACME, BETA]);
    const found = ['acme-old', 'acme-new', 'beta-key', 'acme', '', 'ACME-OLD', 'acme-old '].map(
      (key) => keyring.tenantOf(key)?.name,
    );
    expect(found).toEqual(['acme', 'acme', 'beta', undefined, undefined, undefined, undefined]);
  });

  it('shows a short digest of a key, different for each key', () => {
    expect(keyDigest('acme-old')).toMatch(/^[0-9a-f]{8}$/);
    expect(keyDigest('acme-old')).not.toBe(keyDigest('acme-new'));
  });
});

describe('decideAccess', () => {
  const context = {
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
    [
      'an unknown key, maybe stale configuration',
      { keys: ['other'], mayBeStale: true },
      AccessKind.Uncertain,
    ],
    ['no key, maybe stale configuration', { mayBeStale: true }, AccessKind.Uncertain],
    [
      'two keys, maybe stale configuration',
      { keys: ['a', 'b'], mayBeStale: true },
      AccessKind.Denied,
    ],
    [
      'a known key, too stale configuration',
      { keys: ['beta-key'], isTooStale: true },
      AccessKind.Uncertain,
    ],
    ['no tenants', { keyring: createKeyring([]), keys: ['a', 'b'] }, AccessKind.Granted],
  ])('%s', (_case, fields, kind, name = undefined) => {
    const access = decideAccess({ ...context, ...fields });
    expect(access.kind).toBe(kind);
    expect(access.kind === AccessKind.Granted ? access.tenant?.name : undefined).toBe(name);
  });
});

describe('tenantFindings', () => {
  it('reports the path of a name or key that two tenants share, without the key', () => {
    const thief = tenant({ name: 'thief', apiKeys: ['own', 'beta-key'] });
    const findings = tenantFindings([ACME, BETA, thief, { ...ACME, apiKeys: [] }]);
    expect(findings.map(({ code, path }) => [code, path])).toEqual([
      ['shared-key', 'tenants.2.apiKeys.1'],
      ['duplicate-name', 'tenants.3.name'],
    ]);
    expect(JSON.stringify(findings)).not.toContain('beta-key');
  });

  it('accepts a tenant that lists a key twice', () => {
    expect(tenantFindings([tenant({ name: 'a', apiKeys: ['k', 'k'] })])).toEqual([]);
  });
});
