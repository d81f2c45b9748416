import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { ApplicationStandIn } from '../../lab/application-stand-in.js';
import type { Heartbeat } from '../registry/back-end-registry.js';
import { BackEndPresence } from './back-end-presence.js';
import { DEFAULT_HEADER_NAMES } from './header-names.js';

const DRAIN_MS = 10_000;
const SEND_BOUND_MS = 7_500;
const QUEUE_BOUND_MS = 4_000;

let application: ApplicationStandIn;
let presence: BackEndPresence;
let now: number;
let drainMs: number;
let closed: number;

/** Of the stand-in: its next life under the same id, if `bornAt` is later. */
function beat(sequence: number, fields: Partial<Heartbeat> = {}): Heartbeat {
  return {
    instance: application.instance,
    bornAt: 1,
    version: undefined,
    service: 'desk',
    address: application.address,
    slots: 4,
    state: 'ready',
    coldRemainingMs: 0,
    sequence,
    ...fields,
  };
}

beforeEach(async () => {
  now = 0;
  drainMs = DRAIN_MS;
  closed = 0;
  application = new ApplicationStandIn('desk', 4);
  await application.start();
  const ready = new Promise<void>((resolve) => {
    presence = new BackEndPresence(
      {
        freshnessClock: { now: () => now },
        names: DEFAULT_HEADER_NAMES,
        service: () => 'desk',
        backEndAddress: () => application.address,
        healthPath: () => '/health',
        isServiceConfigured: () => true,
        drainMs: () => drainMs,
      },
      {
        onNewIncarnation: () => {},
        onReady: () => resolve(),
        onUnavailable: () => {
          closed += 1;
        },
        onChange: () => {},
      },
    );
  });
  presence.heartbeat(beat(1));
  await ready;
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout'] });
});

afterEach(() => {
  vi.useRealTimers();
  presence.stop();
  application.close();
});

describe('the bound of a drain', () => {
  const repeats: [string, () => void][] = [
    ['deregisters', () => presence.deregister({ instance: application.instance, bornAt: 1 })],
    ['drains with other slots', () => presence.heartbeat(beat(3, { state: 'draining', slots: 2 }))],
    [
      'seems ready at another address',
      () => presence.heartbeat(beat(3, { address: '127.0.0.1:1' })),
    ],
  ];

  it.each(repeats)('does not move when the back end then %s', (_name, repeat) => {
    presence.heartbeat(beat(2, { state: 'draining' }));
    now = 3_000;
    vi.advanceTimersByTime(3_000);
    repeat();
    now = QUEUE_BOUND_MS;
    vi.advanceTimersByTime(QUEUE_BOUND_MS - 3_000);
    expect(closed).toBe(1);
    now = SEND_BOUND_MS - 1;
    expect(presence.sendRejectionReason()).toBeUndefined();
    now = SEND_BOUND_MS;
    expect(presence.sendRejectionReason()).toBe('draining');
    vi.advanceTimersByTime(DRAIN_MS);
    expect(closed).toBe(1);
  });

  it('does not move with the setting', () => {
    presence.heartbeat(beat(2, { state: 'draining' }));
    drainMs *= 2;
    presence.deregister({ instance: application.instance, bornAt: 1 });
    now = SEND_BOUND_MS;
    expect(presence.sendRejectionReason()).toBe('draining');
  });

  it('is another one in the next life', () => {
    presence.heartbeat(beat(2, { state: 'draining' }));
    now = 3_000;
    vi.advanceTimersByTime(3_000);
    presence.heartbeat(beat(1, { bornAt: 2 }));
    now = SEND_BOUND_MS;
    vi.advanceTimersByTime(SEND_BOUND_MS);
    expect(presence.sendRejectionReason()).toBeUndefined();
    expect(closed).toBe(0);
    presence.heartbeat(beat(2, { bornAt: 2, state: 'draining' }));
    now = 2 * SEND_BOUND_MS - 1;
    expect(presence.sendRejectionReason()).toBeUndefined();
    now = 2 * SEND_BOUND_MS;
    expect(presence.sendRejectionReason()).toBe('draining');
  });

  it('is another one in a life that is first heard of as it leaves', () => {
    presence.heartbeat(beat(2, { state: 'draining' }));
    now = 3_000;
    presence.heartbeat(beat(1, { bornAt: 2, state: 'draining' }));
    now = 3_000 + SEND_BOUND_MS - 1;
    expect(presence.sendRejectionReason()).toBeUndefined();
  });
});
