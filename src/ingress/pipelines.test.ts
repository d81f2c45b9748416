import { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';
import { describe, expect, it, vi } from 'vitest';
import { createPipelines, Departure, type PipelinedRequest } from './pipelines.js';

const MAX_UNANSWERED = 256;

function createConnection() {
  const socket = Object.assign(new EventEmitter(), { end: vi.fn() });
  const pipelines = createPipelines();
  const begin = () => pipelines.begin(socket as unknown as Socket);
  const beginMany = (count: number) => Array.from({ length: count }, begin) as PipelinedRequest[];
  return { socket, pipelines, begin, beginMany };
}

describe('createPipelines', () => {
  it('gives each request its turn when the earlier ones have ended', async () => {
    const [first, second, third] = createConnection().beginMany(3) as [
      PipelinedRequest,
      PipelinedRequest,
      PipelinedRequest,
    ];
    const order: string[] = [];
    const noteTurn = (request: PipelinedRequest, name: string) =>
      request.turn().then(() => order.push(name));
    const turns = [noteTurn(third, 'third'), noteTurn(second, 'second'), noteTurn(first, 'first')];
    await turns[2];
    expect(order).toEqual(['first']);
    first.end();
    await turns[1];
    expect(order).toEqual(['first', 'second']);
    second.end();
    await turns[0];
    expect(order).toEqual(['first', 'second', 'third']);
  });

  // Guards against requests that go on behind the first of a connection that has closed.
  it.each([
    ['end', Departure.End],
    ['error', Departure.Close],
    ['close', Departure.Close],
  ])(
    'reports a departure once to every request without an answer, by the event %s',
    async (event, how) => {
      const { socket, beginMany, begin } = createConnection();
      const [answered, ...others] = beginMany(4) as [PipelinedRequest, ...PipelinedRequest[]];
      const departures: Departure[] = [];
      for (const request of [answered, ...others]) {
        request.onDeparture((departure) => departures.push(departure));
      }
      answered.end();
      const turns = others.map((request) => request.turn());
      socket.emit(event);
      socket.emit('close');
      expect(departures).toEqual([how, how, how]);
      expect(await Promise.all(turns)).toEqual([true, false, false]);
      expect(await others[0]?.turn()).toBe(false);
      expect(begin()).toBeUndefined();
    },
  );

  it('serves no more than so many requests at once, and closes when they are answered', () => {
    const { socket, beginMany, begin } = createConnection();
    const requests = beginMany(MAX_UNANSWERED);
    expect(requests.every((request) => request !== undefined)).toBe(true);
    expect(begin()).toBeUndefined();
    expect(socket.end).not.toHaveBeenCalled();
    for (const request of requests) {
      request.end();
    }
    expect(socket.end).toHaveBeenCalledOnce();
  });
});
