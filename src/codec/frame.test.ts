import fc from 'fast-check';
import { expect, test } from 'vitest';
import { encodeFrame, FrameReader, MAX_FRAME_BYTES } from './frame.js';

test('frames are decoded correctly if the stream arrives in pieces of any size', () => {
  fc.assert(
    fc.property(
      fc.array(fc.jsonValue(), { minLength: 1 }),
      fc.integer({ min: 1, max: 9 }),
      (values, step) => {
        // CBOR preserves a negative zero and JSON does not; this removes it from the input.
        const sent = JSON.parse(JSON.stringify(values)) as unknown[];
        const stream = Buffer.concat(sent.map(encodeFrame));
        const reader = new FrameReader();
        const received: unknown[] = [];
        for (let start = 0; start < stream.length; start += step) {
          received.push(...(reader.read(stream.subarray(start, start + step)) ?? []));
        }
        expect(received).toEqual(sent);
      },
    ),
    { seed: 33, numRuns: 50 },
  );
});

test('a frame header with a length over the maximum is rejected', () => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(MAX_FRAME_BYTES + 1);
  expect(new FrameReader().read(header)).toBeUndefined();
});
