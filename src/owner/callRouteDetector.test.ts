import { describe, expect, it } from 'vitest';
import { type CallRouteDetector, createCallRouteDetector } from './callRouteDetector.js';

/** Machines of a deployment by the service that runs on them: menu 35, orders 24, packing 10. */
const MACHINES = [
  ...new Array<string>(35).fill('menu'),
  ...new Array<string>(24).fill('orders'),
  ...new Array<string>(10).fill('packing'),
];

/** Requests of clients begin on all machines alike: a stride that meets each machine. */
const STRIDE = 29;

function sendFromAll(routes: CallRouteDetector, route: string, count: number): void {
  for (let index = 0; index < count; index += 1) {
    routes.noteRequest(route, MACHINES[(index * STRIDE) % MACHINES.length] as string);
  }
}

function sendFrom(routes: CallRouteDetector, route: string, service: string, count: number): void {
  for (let index = 0; index < count; index += 1) {
    routes.noteRequest(route, service);
  }
}

describe('createCallRouteDetector', () => {
  it('tells a route that begins beside back ends of one service from those of clients', () => {
    const routes = createCallRouteDetector();
    sendFromAll(routes, 'order-place', 200);
    sendFrom(routes, 'stock-check', 'menu', 64);
    expect(routes.isCallRoute('stock-check')).toBe(true);
    expect(routes.isCallRoute('order-place')).toBe(false);
  });

  it('takes no route for called before enough of its requests have come', () => {
    const routes = createCallRouteDetector();
    sendFromAll(routes, 'order-place', 200);
    sendFrom(routes, 'rare', 'menu', 8);
    expect(routes.isCallRoute('rare')).toBe(false);
    expect(routes.isCallRoute('never-seen')).toBe(false);
  });

  it('tells a called route where most of the traffic is calls', () => {
    const routes = createCallRouteDetector();
    for (let round = 0; round < 10; round += 1) {
      sendFromAll(routes, 'order-place', 40);
      sendFrom(routes, 'stock-check', 'menu', 160);
    }
    expect(routes.isCallRoute('stock-check')).toBe(true);
    expect(routes.isCallRoute('order-place')).toBe(false);
  });

  it('tells nothing where all machines run one service', () => {
    const routes = createCallRouteDetector();
    sendFrom(routes, 'read', 'desk', 300);
    sendFrom(routes, 'book', 'desk', 300);
    expect(routes.isCallRoute('read')).toBe(false);
  });

  it('takes back what later requests show to be wrong', () => {
    const routes = createCallRouteDetector();
    sendFromAll(routes, 'order-place', 400);
    sendFrom(routes, 'moved', 'menu', 64);
    expect(routes.isCallRoute('moved')).toBe(true);
    sendFromAll(routes, 'moved', 400);
    expect(routes.isCallRoute('moved')).toBe(false);
  });

  it('stays small when a configuration brings many routes', () => {
    const routes = createCallRouteDetector();
    for (let index = 0; index < 2_000; index += 1) {
      sendFrom(routes, `route-${index}`, 'menu', 1);
    }
    sendFromAll(routes, 'order-place', 200);
    sendFrom(routes, 'stock-check', 'menu', 64);
    expect(routes.isCallRoute('stock-check')).toBe(true);
  });
});
