/**
 * Guards against work for a back end that has drained, and against work withheld from a back end
 * that has restarted under the same id. Both can happen when heartbeats arrive late or out of
 * order.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { type BackEnd, BackEndRegistry, type Heartbeat } from './back-end-registry.js';
import { incarnationName } from './backEndIncarnation.js';

const FALLBACK = {
  service: 'catalogue',
  address: '127.0.0.1:1',
  state: 'ready',
  coldUntil: 0,
  sequence: -1,
  version: undefined,
  bornAt: undefined,
} as const;

function heartbeatOf(overrides: Partial<Heartbeat> = {}): Heartbeat {
  return {
    instance: 'i-1',
    service: 'catalogue',
    address: '127.0.0.1:1',
    slots: 4,
    state: 'ready',
    coldRemainingMs: 0,
    sequence: 1,
    version: 'v1',
    bornAt: undefined,
    ...overrides,
  };
}

function registryWith(instance = 'i-1') {
  const changes: (BackEnd | undefined)[] = [];
  const registry = new BackEndRegistry((backEnd) => changes.push(backEnd));
  registry.heartbeat(heartbeatOf({ instance }), 0);
  registry.confirmReady({ instance, slots: 4 }, FALLBACK);
  return { registry, changes };
}

describe('BackEndRegistry', () => {
  it('does not use an unknown back end before a health response confirms it', () => {
    const registry = new BackEndRegistry(() => {});
    expect(registry.heartbeat(heartbeatOf(), 0)).toBe('unverified');
    expect(registry.current).toBeUndefined();
    registry.confirmReady({ instance: 'i-1', slots: 9 }, FALLBACK);
    expect(registry.current).toMatchObject({ instance: 'i-1', slots: 4, state: 'ready' });
  });

  it('uses a back end after a health response alone, as after a restart of the node', () => {
    const registry = new BackEndRegistry(() => {});
    registry.confirmReady({ instance: 'i-1', slots: 6 }, FALLBACK);
    expect(registry.current).toMatchObject({ instance: 'i-1', slots: 6 });
    expect(registry.heartbeat(heartbeatOf({ sequence: 0 }), 5)).toBe('applied');
  });

  it('ignores a late heartbeat of the same incarnation', () => {
    const { registry } = registryWith();
    registry.heartbeat(heartbeatOf({ sequence: 7, state: 'draining' }), 10);
    expect(registry.heartbeat(heartbeatOf({ sequence: 6 }), 20)).toBe('old');
    expect(registry.current?.state).toBe('draining');
  });

  it('keeps an incarnation draining that deregistered without a drain', () => {
    const { registry } = registryWith();
    registry.endIncarnation({ instance: 'i-1', bornAt: undefined });
    expect(registry.current?.state).toBe('draining');
    expect(registry.heartbeat(heartbeatOf({ sequence: 99 }), 20)).toBe('old');
    registry.confirmReady({ instance: 'i-1', slots: 4 }, FALLBACK);
    expect(registry.current?.state).toBe('draining');
  });

  it('never returns to a back end that another one has replaced', () => {
    const { registry } = registryWith('i-1');
    registry.heartbeat(heartbeatOf({ instance: 'i-2', sequence: 1 }), 10);
    registry.confirmReady({ instance: 'i-2', slots: 4 }, FALLBACK);
    registry.heartbeat(heartbeatOf({ instance: 'i-1', sequence: 50 }), 20);
    registry.confirmReady({ instance: 'i-1', slots: 4 }, FALLBACK);
    expect(registry.current?.instance).toBe('i-2');
  });

  it('ignores the drain of another back end', () => {
    const { registry } = registryWith('i-2');
    registry.heartbeat(heartbeatOf({ instance: 'i-1', state: 'draining', sequence: 3 }), 10);
    registry.endIncarnation({ instance: 'i-1', bornAt: undefined });
    expect(registry.current).toMatchObject({ instance: 'i-2', state: 'ready' });
  });

  it('uses a back end that has drained and restarted under its id', () => {
    const { registry, changes } = registryWith();
    registry.heartbeat(heartbeatOf({ bornAt: 100, sequence: 8 }), 10);
    registry.heartbeat(heartbeatOf({ bornAt: 100, sequence: 9, state: 'draining' }), 20);
    registry.endIncarnation({ instance: 'i-1', bornAt: 100 });
    expect(registry.heartbeat(heartbeatOf({ bornAt: 200, sequence: 1 }), 30)).toBe('applied');
    expect(registry.current).toMatchObject({ state: 'ready', bornAt: 200, sequence: 1 });
    expect(changes.at(-1)).toEqual(registry.current);
  });

  it('accepts sequence numbers that start again, and reports the new incarnation', () => {
    const newIncarnationFlags: boolean[] = [];
    const registry = new BackEndRegistry((_backEnd, isNewIncarnation) =>
      newIncarnationFlags.push(isNewIncarnation),
    );
    registry.heartbeat(heartbeatOf({ bornAt: 100, sequence: 50 }), 0);
    registry.confirmReady({ instance: 'i-1', slots: 4 }, FALLBACK);
    registry.heartbeat(heartbeatOf({ bornAt: 200, sequence: 1 }), 10);
    expect(registry.heartbeat(heartbeatOf({ bornAt: 200, sequence: 2 }), 20)).toBe('applied');
    expect(registry.current).toMatchObject({ bornAt: 200, sequence: 2 });
    expect(newIncarnationFlags).toEqual([true, true]);
  });

  it('ignores late heartbeats and deregistrations of an ended incarnation', () => {
    const { registry } = registryWith();
    registry.heartbeat(heartbeatOf({ bornAt: 100, sequence: 8 }), 10);
    registry.heartbeat(heartbeatOf({ bornAt: 200, sequence: 1 }), 20);
    const late = heartbeatOf({ bornAt: 100, sequence: 9, state: 'draining', slots: 1 });
    expect(registry.heartbeat(late, 30)).toBe('old');
    registry.endIncarnation({ instance: 'i-1', bornAt: 100 });
    expect(registry.current).toMatchObject({ state: 'ready', bornAt: 200, slots: 4 });
  });

  it('accepts the start time of a back end known from a health response alone', () => {
    const registry = new BackEndRegistry(() => {});
    registry.confirmReady({ instance: 'i-1', slots: 6 }, FALLBACK);
    registry.heartbeat(heartbeatOf({ bornAt: 200, sequence: 3 }), 0);
    expect(
      registry.heartbeat(heartbeatOf({ bornAt: 100, sequence: 9, state: 'draining' }), 5),
    ).toBe('old');
    expect(registry.current).toMatchObject({ state: 'ready', bornAt: 200, sequence: 3 });
  });

  it('follows a back end that restarts at another address or after another back end', () => {
    const { registry } = registryWith();
    registry.heartbeat(heartbeatOf({ bornAt: 100, sequence: 8 }), 10);
    registry.heartbeat(heartbeatOf({ bornAt: 200, sequence: 1, address: '127.0.0.1:2' }), 20);
    expect(registry.current).toMatchObject({ address: '127.0.0.1:2', bornAt: 200 });
    registry.heartbeat(heartbeatOf({ instance: 'i-2', bornAt: 50 }), 30);
    registry.confirmReady({ instance: 'i-2', slots: 4 }, FALLBACK);
    expect(registry.heartbeat(heartbeatOf({ bornAt: 200, sequence: 9 }), 40)).toBe('old');
    expect(registry.heartbeat(heartbeatOf({ bornAt: 300, sequence: 1 }), 50)).toBe('unverified');
    registry.confirmReady({ instance: 'i-1', slots: 4 }, FALLBACK);
    expect(registry.current).toMatchObject({ instance: 'i-1', bornAt: 300 });
  });

  it('applies a deregistration without a start time to the known incarnation', () => {
    const { registry } = registryWith();
    registry.heartbeat(heartbeatOf({ bornAt: 100, sequence: 8 }), 10);
    registry.endIncarnation({ instance: 'i-1', bornAt: undefined });
    expect(registry.heartbeat(heartbeatOf({ bornAt: 100, sequence: 9 }), 20)).toBe('old');
    expect(registry.current?.state).toBe('draining');
    registry.heartbeat(heartbeatOf({ bornAt: 101, sequence: 1 }), 30);
    expect(registry.current?.state).toBe('ready');
  });

  it('never makes an ended incarnation ready, or blocks a later one, in any order', () => {
    const event = fc.record({
      kind: fc.constantFrom('ready', 'draining', 'deregister', 'verified'),
      instance: fc.constantFrom('i-1', 'i-2'),
      bornAt: fc.integer({ min: 1, max: 3 }),
      sequence: fc.integer({ min: 1, max: 6 }),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 30 }), (events) => {
        const registry = new BackEndRegistry(() => {});
        const ended = new Set<string>();
        for (const { kind, instance, bornAt, sequence } of events) {
          if (kind === 'verified') {
            registry.confirmReady({ instance, slots: 2 }, FALLBACK);
          } else if (kind === 'deregister') {
            registry.endIncarnation({ instance, bornAt });
            ended.add(incarnationName({ instance, bornAt }));
          } else {
            const state = kind === 'draining' ? 'draining' : 'ready';
            const result = registry.heartbeat(
              heartbeatOf({ instance, bornAt, sequence, state }),
              0,
            );
            if (state === 'draining' && result === 'applied') {
              ended.add(incarnationName({ instance, bornAt }));
            }
          }
          const { current } = registry;
          if (current && ended.has(incarnationName(current))) {
            expect(current.state).toBe('draining');
          }
        }
        for (const instance of ['i-1', 'i-2']) {
          registry.heartbeat(heartbeatOf({ instance, bornAt: 4, sequence: 1 }), 0);
          registry.confirmReady({ instance, slots: 2 }, FALLBACK);
          expect(registry.current).toMatchObject({ instance, bornAt: 4, state: 'ready' });
        }
      }),
      { seed: 39, numRuns: 1_000 },
    );
  });

  it('never makes a draining back end ready without start times, in any order', () => {
    const event = fc.record({
      kind: fc.constantFrom('ready', 'draining', 'deregister', 'verified'),
      instance: fc.constantFrom('i-1', 'i-2', 'i-3'),
      sequence: fc.integer({ min: 1, max: 6 }),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 30 }), (events) => {
        const registry = new BackEndRegistry(() => {});
        const ended = new Set<string>();
        for (const { kind, instance, sequence } of events) {
          const wasCurrent = registry.current?.instance === instance;
          if (kind === 'deregister') {
            registry.endIncarnation({ instance, bornAt: undefined });
            ended.add(instance);
          } else if (kind === 'verified') {
            registry.confirmReady({ instance, slots: 2 }, FALLBACK);
          } else {
            const state = kind === 'draining' ? 'draining' : 'ready';
            const result = registry.heartbeat(heartbeatOf({ instance, sequence, state }), 0);
            if (state === 'draining' && (result === 'applied' || !wasCurrent)) {
              ended.add(instance);
            }
          }
          const current = registry.current;
          if (current && ended.has(current.instance)) {
            expect(current.state).toBe('draining');
          }
        }
      }),
      { seed: 7, numRuns: 500 },
    );
  });
});
