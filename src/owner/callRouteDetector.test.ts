import { describe, expect, it } from 'vitest';
import { type CallRouteDetector, createCallRouteDetector } from './callRouteDetector.js';

/**
 * The service of each machine of a deployment: menu 35 times, orders 24 times, packing 10 times.
 */
const MACHINES = [
  ...new Array<string>(35).fill('menu'),
  ...new Array<string>(24).fill('orders'),
  ...new Array<string>(10).fill('packing'),
];

/** Requests of clients begin on all machines equally often: this stride visits each machine. */
const STRIDE = 29;

function sendFromAll(detector: CallRouteDetector, route: string, count: number): void {
  for (let index = 0; index < count; index += 1) {
    detector.noteRequest(route, MACHINES[(index * STRIDE) % MACHINES.length] as string);
  }
}

function sendFrom(
  detector: CallRouteDetector,
  route: string,
  service: string,
  count: number,
): void {
  for (let index = 0; index < count; index += 1) {
    detector.noteRequest(route, service);
  }
}

describe('createCallRouteDetector', () => {
  it('detects a route whose requests all begin on machines of one service', () => {
    const detector = createCallRouteDetector();
    sendFromAll(detector, 'order-place', 200);
    sendFrom(detector, 'stock-check', 'menu', 64);
    expect(detector.isCallRoute('stock-check')).toBe(true);
    expect(detector.isCallRoute('order-place')).toBe(false);
  });

  it('detects no call route before enough of its requests have arrived', () => {
    const detector = createCallRouteDetector();
    sendFromAll(detector, 'order-place', 200);
    sendFrom(detector, 'rare', 'menu', 8);
    expect(detector.isCallRoute('rare')).toBe(false);
    expect(detector.isCallRoute('never-seen')).toBe(false);
  });

  it('detects a call route if most of the traffic is calls', () => {
    const detector = createCallRouteDetector();
    for (let round = 0; round < 10; round += 1) {
      sendFromAll(detector, 'order-place', 40);
      sendFrom(detector, 'stock-check', 'menu', 160);
    }
    expect(detector.isCallRoute('stock-check')).toBe(true);
    expect(detector.isCallRoute('order-place')).toBe(false);
  });

  it('detects no call route if all machines run one service', () => {
    const detector = createCallRouteDetector();
    sendFrom(detector, 'read', 'desk', 300);
    sendFrom(detector, 'book', 'desk', 300);
    expect(detector.isCallRoute('read')).toBe(false);
  });

  it('withdraws a call route if later requests begin on all machines', () => {
    const detector = createCallRouteDetector();
    sendFromAll(detector, 'order-place', 400);
    sendFrom(detector, 'moved', 'menu', 64);
    expect(detector.isCallRoute('moved')).toBe(true);
    sendFromAll(detector, 'moved', 400);
    expect(detector.isCallRoute('moved')).toBe(false);
  });

  it('still detects a call route after the maximum number of routes was exceeded', () => {
    const detector = createCallRouteDetector();
    for (let index = 0; index < 2_000; index += 1) {
      sendFrom(detector, `route-${index}`, 'menu', 1);
    }
    sendFromAll(detector, 'order-place', 200);
    sendFrom(detector, 'stock-check', 'menu', 64);
    expect(detector.isCallRoute('stock-check')).toBe(true);
  });
});

describe('an owner that receives one route only', () => {
  const nodes = new Map([
    ['desk', 3],
    ['vault', 1],
    ['store', 1],
  ]);

  it('counts it as one of calls if whole services never send it', () => {
    const detector = createCallRouteDetector(() => nodes);
    for (let index = 0; index < 64; index += 1) {
      detector.noteRequest('check', 'desk');
    }
    expect(detector.isCallRoute('check')).toBe(true);
  });

  it('counts it as one of clients if all services send it', () => {
    const detector = createCallRouteDetector(() => nodes);
    for (let index = 0; index < 64; index += 1) {
      detector.noteRequest(
        'check',
        ['desk', 'vault', 'desk', 'store', 'desk'][index % 5] as string,
      );
    }
    expect(detector.isCallRoute('check')).toBe(false);
  });
});
