import { describe, expect, it } from 'vitest';
import { createCallRoutes } from './callRoutes.js';

const MINUTE_MS = 60_000;
const MAX_ROUTES = 256;

describe('createCallRoutes', () => {
  it('knows a route as one of calls for a minute after the latest report', () => {
    const routes = createCallRoutes();
    expect(routes.isCallRoute('check', 0)).toBe(false);
    routes.note('check', 0);
    routes.note('check', MINUTE_MS / 2);
    expect(routes.isCallRoute('check', MINUTE_MS)).toBe(true);
    expect(routes.isCallRoute('check', MINUTE_MS * 1.5)).toBe(false);
  });

  it('forgets the route with the oldest report if there are too many', () => {
    const routes = createCallRoutes();
    for (let index = 0; index <= MAX_ROUTES; index += 1) {
      routes.note(`check-${index}`, index);
    }
    expect(routes.isCallRoute('check-0', MAX_ROUTES)).toBe(false);
    expect(routes.isCallRoute('check-1', MAX_ROUTES)).toBe(true);
  });
});
