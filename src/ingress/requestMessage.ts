/** Reads a client's request: the size of its head, and its body. */
import type http from 'node:http';
import { collectBody, EMPTY_BODY, type MessageBody } from '../owner/message-body.js';
import type { MeshLimits } from '../routing/mesh-configuration.js';

/** Largest body, in bytes, that is buffered whole, so that it can be offered to several owners. */
const MAX_BUFFERED_BODY_BYTES = 1024 * 1024;

/** Each field name is followed by a colon and a space, and each value by a line end. */
const FIELD_FRAMING_BYTES = 2;

/** Size of a request's header fields as sent, in bytes. */
export function headBytes(request: http.IncomingMessage): number {
  return request.rawHeaders.reduce((sum, text) => sum + text.length + FIELD_FRAMING_BYTES, 0);
}

export function hasBody(request: http.IncomingMessage): boolean {
  const length = request.headers['content-length'];
  return request.headers['transfer-encoding'] !== undefined || Number(length ?? 0) > 0;
}

/** Reads the whole body, or the first part of a long one. Undefined if the body breaks off. */
export async function readBody(
  request: http.IncomingMessage,
  limits: MeshLimits,
): Promise<MessageBody | 'too-large' | undefined> {
  if (!hasBody(request)) {
    return EMPTY_BODY;
  }
  if (Number(request.headers['content-length'] ?? 0) > limits.maxBodyBytes) {
    return 'too-large';
  }
  const body = await collectBody(request, MAX_BUFFERED_BODY_BYTES).catch(() => undefined);
  const isTooLarge = body?.kind === 'bytes' && body.bytes.length > limits.maxBodyBytes;
  return isTooLarge ? 'too-large' : body;
}
