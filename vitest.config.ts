import { defineConfig } from 'vitest/config';
import { testsToRun } from './lab/knownRed.js';

/** Integration tests start many processes, so test files run two at a time. */
export default defineConfig({
  test: {
    include: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'lab/**/*.test.ts', 'test/**/*.test.ts'],
    testNamePattern: testsToRun('KNOWN-RED.txt'),
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 2,
  },
});
