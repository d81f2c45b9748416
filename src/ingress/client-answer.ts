/** Sends final answers to clients: the answer of a back end, or a refusal by the node. */
import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { type MessageBody, sendBody } from '../owner/message-body.js';
import type { OwnerAnswer } from '../owner/owner.js';

/** Reasons for which a node refuses a request. */
export type RefusalCode =
  | 'no-configuration'
  | 'configuration-behind'
  | 'no-route'
  /** The request carries no key, more than one key, or a key that no tenant holds. */
  | 'unknown-key'
  /** The tenant of the request has sent more than its quota allows. */
  | 'over-quota'
  | 'too-large'
  | 'head-too-large'
  | 'busy'
  /** The limits that the back ends have named allow no further request now. */
  | 'limited'
  | 'stopping'
  | 'no-owner'
  | 'placement-denied'
  | 'ambiguous-path'
  | 'retry-budget-spent'
  | 'attempts-spent'
  | 'deadline'
  | 'timeout'
  | 'lost'
  /** The request has crashed a back end that ran nothing else. */
  | 'quarantined';

/** A refusal. Status 503 promises that the request has not run and never will. */
export interface ClientRefusal {
  readonly code: RefusalCode;
  readonly status: 400 | 401 | 404 | 413 | 429 | 431 | 502 | 503 | 504;
  /** Milliseconds after which the client may retry, for status 429 and 503. */
  readonly retryAfterMs?: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** `closes` is true if the refusal is the last answer on its connection. */
export function sendRefusal(
  response: ServerResponse,
  refusal: ClientRefusal,
  requestId: readonly string[],
  closes: boolean,
): void {
  const body = Buffer.from(`${JSON.stringify({ error: refusal.code })}\n`);
  const fields = [
    ...requestId,
    'Content-Type',
    'application/json',
    'Content-Length',
    String(body.length),
    ...(refusal.retryAfterMs === undefined
      ? []
      : ['Retry-After', (refusal.retryAfterMs / MILLISECONDS_PER_SECOND).toFixed(3)]),
    ...(closes ? ['Connection', 'close'] : []),
  ];
  response.writeHead(refusal.status, fields as unknown as OutgoingHttpHeaders);
  response.end(body);
}

/**
 * Passes a back end's answer on. Rejects if the answer breaks off; the caller must then close the
 * client's connection, so that the client sees that the answer is incomplete.
 */
export async function sendAnswer(
  response: ServerResponse,
  answer: OwnerAnswer,
  method: string,
  closes: boolean,
): Promise<void> {
  const fields = [
    ...answer.headers,
    ...framingFieldsOf(answer, method),
    ...(closes ? ['Connection', 'close'] : []),
  ];
  response.writeHead(answer.status, fields as unknown as OutgoingHttpHeaders);
  await sendBody(answer.body as MessageBody, response);
}

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

function framingFieldsOf(answer: OwnerAnswer, method: string): string[] {
  const hasNoBody = method === 'HEAD' || [NO_CONTENT, NOT_MODIFIED].includes(answer.status);
  return answer.body.kind === 'bytes' && !hasNoBody
    ? ['Content-Length', String(answer.body.bytes.length)]
    : [];
}
