import { describe, expect, it } from 'vitest';
import {
  checkMeshConfiguration,
  createConfigurationCheck,
  type MeshConfiguration,
} from './mesh-configuration.js';
import { RouteMatcher } from './route-matcher.js';
import { TrafficSplit } from './traffic-split.js';

function candidate(routes: unknown[]): unknown {
  return { version: 3, routes, services: [{ name: 'desk' }, { name: 'vault' }] };
}

function route(name: string, pathPrefix: string, host = 'a.example') {
  return { name, host, pathPrefix, kind: 'safe', split: [{ service: 'desk', weight: 1 }] };
}

function configurationWith(routes: unknown[]): MeshConfiguration {
  return checkMeshConfiguration(candidate(routes)).unsafeCoerce();
}

describe('RouteMatcher', () => {
  const matcher = new RouteMatcher(
    configurationWith([route('all', '/'), route('read', '/read/'), route('deep', '/read/deep/')]),
  );
  it.each([
    ['/read/deep/1', 'deep'],
    ['/read/other', 'read'],
    ['/read/deep', 'read'],
    ['/reading/1', 'all'],
    ['/?x=/read/', 'all'],
    ['/read/%2e%2e/x?y#z', 'read'],
    ['http://a.example/read/1', 'read'],
  ])('matches %s to the longest prefix', (target, name) => {
    expect(matcher.match('a.example:8080', target)?.route.name).toBe(name);
  });

  it('does not match another host, and compares hosts without regard to case', () => {
    expect(matcher.match('b.example', '/read/1')).toBeUndefined();
    expect(matcher.match('A.Example', '/read/1')?.route.name).toBe('read');
  });
});

describe('createConfigurationCheck', () => {
  it('returns an unchanged route as the same object, which keeps its split', () => {
    const check = createConfigurationCheck();
    const first = check(candidate([route('a', '/a/'), route('b', '/b/')])).unsafeCoerce();
    const second = check(candidate([route('a', '/a/'), route('b', '/c/')])).unsafeCoerce();
    expect(second.routes[0]).toBe(first.routes[0]);
    expect(second.routes[1]).toMatchObject({ pathPrefix: '/c/' });
    const before = new RouteMatcher(first);
    const after = new RouteMatcher(second, before);
    expect(after.match('a.example', '/a/1')?.split).toBe(before.match('a.example', '/a/1')?.split);
    expect(after.match('a.example', '/b/1')).toBeUndefined();
  });

  it('renders a route object that versions share only once', () => {
    const check = createConfigurationCheck();
    let reads = 0;
    const shared = {
      ...route('a', '/a/'),
      toJSON: () => {
        reads += 1;
        return route('a', '/a/');
      },
    };
    for (let version = 1; version <= 5; version += 1) {
      check(candidate([shared, route('b', `/${version}/`)])).unsafeCoerce();
    }
    expect(reads).toBe(1);
  });

  it('reports the path of an invalid route, and keeps the valid ones of the last valid candidate', () => {
    const check = createConfigurationCheck();
    const first = check(candidate([route('a', '/a/')])).unsafeCoerce();
    const findings = check(candidate([route('a', '/a/'), route('b', 'b')]))
      .swap()
      .unsafeCoerce();
    expect(findings.map((finding) => finding.path)).toEqual(['routes.1.pathPrefix']);
    const third = check(candidate([route('a', '/a/')])).unsafeCoerce();
    expect(third.routes[0]).toBe(first.routes[0]);
  });
});

describe('checkMeshConfiguration', () => {
  it('reports the path of each schema finding of a route, without checking references', () => {
    const findings = checkMeshConfiguration({
      version: 3,
      routes: [{ ...route('a', 'no-slash'), kind: 'odd' }],
      services: [],
    })
      .swap()
      .unsafeCoerce();
    expect(findings.map((finding) => finding.path)).toEqual([
      'routes.0.pathPrefix',
      'routes.0.kind',
    ]);
  });

  it('rejects a configuration with a route to a missing service', () => {
    const dangling = { ...route('a', '/a/'), split: [{ service: 'gone', weight: 1 }] };
    const findings = checkMeshConfiguration(candidate([dangling]))
      .swap()
      .unsafeCoerce();
    expect(findings).toMatchObject([{ code: 'dangling-reference', path: 'routes.0.split' }]);
  });

  it('ignores unknown fields', () => {
    expect(checkMeshConfiguration(candidate([{ ...route('a', '/a/'), odd: 1 }])).isRight()).toBe(
      true,
    );
  });
});

describe('TrafficSplit', () => {
  it('chooses each part in proportion to its weight', () => {
    const split = new TrafficSplit(
      [
        { service: 'desk', weight: 90 },
        { service: 'vault', weight: 10 },
      ],
      () => 0.5,
    );
    const chosen = Array.from({ length: 300 }, () => split.next());
    expect(chosen.filter((service) => service === 'vault')).toHaveLength(30);
  });

  it('never chooses a part with weight 0', () => {
    const split = new TrafficSplit([
      { service: 'desk', weight: 1 },
      { service: 'vault', weight: 0 },
    ]);
    expect(new Set(Array.from({ length: 50 }, () => split.next()))).toEqual(new Set(['desk']));
  });
});
