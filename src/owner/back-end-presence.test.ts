import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { ApplicationStandIn } from '../../lab/application-stand-in.js';
import type { Heartbeat } from '../registry/back-end-registry.js';
import { BackEndPresence } from './back-end-presence.js';
import { DEFAULT_HEADER_NAMES } from './header-names.js';

const DRAIN_MS = 10_000;
const SEND_LIMIT_MS = 7_500;
const QUEUE_LIMIT_MS = 4_000;

let application: ApplicationStandIn;
let presence: BackEndPresence;
let now: number;
let drainMs: number;
let unavailableCount: number;

/**
 * A heartbeat of the stand-in. A later `bornAt` makes it one of the next incarnation of the same
 * id.
 */
function heartbeat(sequence: number, fields: Partial<Heartbeat> = {}): Heartbeat {
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
  unavailableCount = 0;
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
        onHealthNotice: () => {},
        onUnavailable: () => {
          unavailableCount += 1;
        },
        onChange: () => {},
      },
    );
  });
  presence.heartbeat(heartbeat(1));
  await ready;
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout'] });
});

afterEach(() => {
  vi.useRealTimers();
  presence.stop();
  application.close();
});

describe('the time limits of a drain', () => {
  const laterReports: [string, () => void][] = [
    ['deregisters', () => presence.deregister({ instance: application.instance, bornAt: 1 })],
    [
      'reports in an answer that it is leaving',
      () => presence.noteLeaving({ instance: application.instance, bornAt: 1 }),
    ],
    [
      'drains with other slots',
      () => presence.heartbeat(heartbeat(3, { state: 'draining', slots: 2 })),
    ],
    [
      'reports to be ready at another address',
      () => presence.heartbeat(heartbeat(3, { address: '127.0.0.1:1' })),
    ],
  ];

  it.each(laterReports)('do not move if the back end then %s', (_name, sendReport) => {
    presence.heartbeat(heartbeat(2, { state: 'draining' }));
    now = 3_000;
    vi.advanceTimersByTime(3_000);
    sendReport();
    now = QUEUE_LIMIT_MS;
    vi.advanceTimersByTime(QUEUE_LIMIT_MS - 3_000);
    expect(unavailableCount).toBe(1);
    now = SEND_LIMIT_MS - 1;
    expect(presence.sendRejectionReason()).toBeUndefined();
    now = SEND_LIMIT_MS;
    expect(presence.sendRejectionReason()).toBe('draining');
    vi.advanceTimersByTime(DRAIN_MS);
    expect(unavailableCount).toBe(1);
  });

  it('do not move if the setting changes', () => {
    presence.heartbeat(heartbeat(2, { state: 'draining' }));
    drainMs *= 2;
    presence.deregister({ instance: application.instance, bornAt: 1 });
    now = SEND_LIMIT_MS;
    expect(presence.sendRejectionReason()).toBe('draining');
  });

  it('start anew for the next incarnation', () => {
    presence.heartbeat(heartbeat(2, { state: 'draining' }));
    now = 3_000;
    vi.advanceTimersByTime(3_000);
    presence.heartbeat(heartbeat(1, { bornAt: 2 }));
    now = SEND_LIMIT_MS;
    vi.advanceTimersByTime(SEND_LIMIT_MS);
    expect(presence.sendRejectionReason()).toBeUndefined();
    expect(unavailableCount).toBe(0);
    presence.heartbeat(heartbeat(2, { bornAt: 2, state: 'draining' }));
    now = 2 * SEND_LIMIT_MS - 1;
    expect(presence.sendRejectionReason()).toBeUndefined();
    now = 2 * SEND_LIMIT_MS;
    expect(presence.sendRejectionReason()).toBe('draining');
  });

  it('start anew for an incarnation whose first heartbeat reports a drain', () => {
    presence.heartbeat(heartbeat(2, { state: 'draining' }));
    now = 3_000;
    presence.heartbeat(heartbeat(1, { bornAt: 2, state: 'draining' }));
    now = 3_000 + SEND_LIMIT_MS - 1;
    expect(presence.sendRejectionReason()).toBeUndefined();
  });
});
