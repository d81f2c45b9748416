/**
 * Guards against a log that blocks the node or grows without bound while its reader is stalled, and
 * against lines about requests that cost too many writes or crowd out events.
 */
import { describe, expect, it } from 'vitest';
import { DecisionLog } from './decision-log.js';

/** A reader that reads nothing until it is released. */
function stalledReader() {
  const lines: Record<string, unknown>[] = [];
  let release: (() => void) | undefined;
  const sink = (bytes: Buffer, done: () => void) => {
    release = () => {
      for (const line of bytes.toString().trim().split('\n')) {
        lines.push(JSON.parse(line) as Record<string, unknown>);
      }
      done();
    };
  };
  const releaseAll = () => {
    while (release) {
      const current = release;
      release = undefined;
      current();
    }
  };
  return { sink, lines, releaseAll };
}

describe('DecisionLog', () => {
  it('drops and counts lines beyond its buffer while the reader is stalled', () => {
    const { sink, lines, releaseAll } = stalledReader();
    const log = new DecisionLog('node-1', () => 0, sink);
    const text = 'x'.repeat(1_000);
    for (let index = 0; index < 1_000; index += 1) {
      log.event('event', { index, text });
    }
    expect(log.dropped).toBeGreaterThan(600);
    releaseAll();
    log.event('after');
    releaseAll();
    expect(lines.length + log.dropped).toBe(1_001);
    expect(lines.at(-1)).toMatchObject({ event: 'after', droppedLines: log.dropped });
  });

  it('batches lines about requests, and writes them immediately if an event follows', () => {
    const writes: number[] = [];
    const deferred: (() => void)[] = [];
    const log = new DecisionLog(
      'node-1',
      () => 0,
      (bytes, done) => {
        writes.push(bytes.toString().trim().split('\n').length);
        done();
      },
      (callback) => deferred.push(callback),
    );
    log.decision('request', {});
    log.decision('request', {});
    expect(writes).toEqual([]);
    deferred.pop()?.();
    expect(writes).toEqual([2]);
    log.decision('request', {});
    log.event('stopped');
    expect(writes).toEqual([2, 2]);
  });

  it('limits the rate of lines about requests, but not of events', () => {
    let now = 0;
    const lines: string[] = [];
    const log = new DecisionLog(
      'node-1',
      () => now,
      (bytes, done) => {
        lines.push(...bytes.toString().trim().split('\n'));
        done();
      },
    );
    for (let index = 0; index < 200; index += 1) {
      log.decision('request', { index });
    }
    expect(lines).toHaveLength(50);
    log.event('store', {});
    expect(lines).toHaveLength(51);
    now = 1_000;
    log.decision('request', {});
    expect(JSON.parse(lines.at(-1) ?? '{}')).toMatchObject({ event: 'request' });
    expect(log.dropped).toBe(150);
  });
});
