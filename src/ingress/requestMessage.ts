/** A client's request as it came: the size of its head, and its body. */
import type http from 'node:http';
import { collectBody, EMPTY_BODY, type MessageBody } from '../owner/message-body.js';
import type { MeshLimits } from '../routing/mesh-configuration.js';

/** A body up to this size, in bytes, is held, so that it can be offered again. */
const MAX_HELD_BODY_BYTES = 1024 * 1024;

/** A colon and a space, or a line end, go with each name and value of a header field. */
const FIELD_FRAMING_BYTES = 2;

/** Size of a request's header fields as they were sent, in bytes. */
export function headBytes(request: http.IncomingMessage): number {
  return request.rawHeaders.reduce((sum, text) => sum + text.length + FIELD_FRAMING_BYTES, 0);
}

export function hasBody(request: http.IncomingMessage): boolean {
  const length = request.headers['content-length'];
  return request.headers['transfer-encoding'] !== undefined || Number(length ?? 0) > 0;
}

/** The whole body, or its beginning when it is long; undefined when it broke off. */
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
  const body = await collectBody(request, MAX_HELD_BODY_BYTES).catch(() => undefined);
  const isTooLarge = body?.kind === 'bytes' && body.bytes.length > limits.maxBodyBytes;
  return isTooLarge ? 'too-large' : body;
}
