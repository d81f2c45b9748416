/**
 * Frames on a TCP connection between nodes: a 4-byte big-endian length, then
 * that many bytes of CBOR (RFC 8949).
 */
import { Encoder } from 'cbor-x';

const HEADER_BYTES = 4;

/** Largest accepted frame in bytes; a snapshot of a large configuration fits. */
export const MAX_FRAME_BYTES = 32 * 1024 * 1024;

const codec = new Encoder({ useRecords: false, variableMapSize: true });

/** Encodes a value as CBOR without a length, for content that is framed elsewhere or hashed. */
export function encodeValue(value: unknown): Buffer {
  return codec.encode(value);
}

/** Decodes CBOR. Undefined if the bytes are not valid. */
export function decodeValue(bytes: Buffer): unknown {
  try {
    return codec.decode(bytes);
  } catch {
    return undefined;
  }
}

/** Encodes a value as one frame. */
export function encodeFrame(value: unknown): Buffer {
  const body = codec.encode(value);
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/** Decodes the values of a stream of frames. */
export class FrameReader {
  private pending: Buffer = Buffer.alloc(0);

  /**
   * Adds the next bytes of the stream and returns the values that are now
   * complete. Undefined if the stream is invalid; the caller must then destroy
   * the connection.
   */
  read(chunk: Buffer): unknown[] | undefined {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const values: unknown[] = [];
    while (this.pending.length >= HEADER_BYTES) {
      const length = this.pending.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) {
        return undefined;
      }
      const end = HEADER_BYTES + length;
      if (this.pending.length < end) {
        break;
      }
      const value = decodeValue(this.pending.subarray(HEADER_BYTES, end));
      if (value === undefined) {
        return undefined;
      }
      values.push(value);
      this.pending = this.pending.subarray(end);
    }
    return values;
  }
}
