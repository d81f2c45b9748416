/** Writes the answer of one request on its client's connection. */
import type http from 'node:http';
import type { OwnerAnswer } from '../owner/owner.js';
import { type ClientRefusal, sendAnswer, sendRefusal } from './client-answer.js';
import { lingerBeforeClose } from './lingeringClose.js';
import type { PipelinedRequest } from './pipelines.js';

/** The place of a request's answer on its connection. */
export interface AnswerPlace extends Pick<PipelinedRequest, 'turn'> {
  /**
   * Called when the answer is written. True if it must close the connection, which then serves no
   * more requests.
   */
  closeIfLast(): boolean;
}

/** The request that is answered. */
export interface AnswerWriterContext {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** The field that repeats the request's id, as a name and a value; empty if it has none. */
  readonly idField: readonly string[];
  readonly place: AnswerPlace;
}

/** Either method is called at most once, when it is the request's turn on the connection. */
export interface AnswerWriter {
  /** Resolves when the body has been passed on; rejects if it breaks off. */
  answer(answer: OwnerAnswer): Promise<void>;
  /** `mustClose` is true if the connection cannot be used after the refusal. */
  refuse(refusal: ClientRefusal, mustClose: boolean): void;
}

export function createAnswerWriter({
  request,
  response,
  idField,
  place,
}: AnswerWriterContext): AnswerWriter {
  return {
    answer: (answer) => {
      lingerBeforeClose(request);
      return sendAnswer(response, answer, request.method ?? 'GET', place.closeIfLast());
    },
    refuse: (refusal, mustClose) => {
      lingerBeforeClose(request);
      sendRefusal(response, refusal, idField, place.closeIfLast() || mustClose);
    },
  };
}
