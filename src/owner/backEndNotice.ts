/**
 * Reads what a back end reports about itself in the head of an answer: its load, its rate limit, and
 * whether it is leaving. A field that cannot be read is a finding and has no effect.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { type Either, Left, Right } from 'purify-ts';
import type { Finding } from '../model/finding.js';
import type { HeaderNames } from './header-names.js';
import { type LoadReport, readLoadReport } from './loadReport.js';

/** What a back end reports about itself in one answer. */
export interface BackEndNotice {
  /** Undefined if the answer has no valid load report. */
  readonly load: LoadReport | undefined;
  /**
   * Requests per second that the back end accepts from all nodes together. Undefined if it names no
   * limit.
   */
  readonly limitPerS: Either<Finding, number | undefined>;
  /** True if the back end is leaving and must receive no new requests. */
  readonly isLeaving: Either<Finding, boolean>;
}

/** A decimal number without a sign or an exponent, below a billion. */
const DECIMAL = /^(\d{1,9}(\.\d{0,9})?|\.\d{1,9})$/;

const LEAVING = '1';

const NO_LIMIT = Right(undefined);
const NOT_LEAVING = Right(false);

export function readBackEndNotice(headers: IncomingHttpHeaders, names: HeaderNames): BackEndNotice {
  const load = headers[names.load.toLowerCase()];
  const limit = headers[names.limit.toLowerCase()];
  const leaving = headers[names.leaving.toLowerCase()];
  return {
    load: readLoadReport(load),
    limitPerS: limit === undefined ? NO_LIMIT : readLimit(limit, names.limit),
    isLeaving: leaving === undefined ? NOT_LEAVING : readLeaving(leaving, names.leaving),
  };
}

function readLimit(value: string | string[], name: string): Either<Finding, number> {
  return typeof value === 'string' && DECIMAL.test(value)
    ? Right(Number(value))
    : Left(unreadable(name, value, 'a decimal number of requests per second'));
}

function readLeaving(value: string | string[], name: string): Either<Finding, boolean> {
  return value === LEAVING ? Right(true) : Left(unreadable(name, value, `"${LEAVING}"`));
}

function unreadable(name: string, value: string | string[], expected: string): Finding {
  return {
    code: 'unreadable-header',
    path: name,
    message: `expected ${expected}, found "${value}"`,
  };
}
