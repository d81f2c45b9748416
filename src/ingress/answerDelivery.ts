/**
 * Brings a back end's answer to its client: when it is its turn on the connection, within the time
 * of its request, and so that a client sees it if the answer breaks off.
 */
import type { Clock } from '../model/clock.js';
import type { SuspendAwareTimers } from '../model/suspendAwareTimers.js';
import { discardBody } from '../owner/message-body.js';
import type { OwnerAnswer } from '../owner/owner.js';
import type { AnswerPlace, AnswerWriter } from './answerWriter.js';
import type { ClientRefusal } from './client-answer.js';
import { LOST, TOO_LATE } from './nodeRefusals.js';
import type { RequestEnd } from './requestEnd.js';
import { AnswerBreak, RequestEnding } from './requestRecord.js';

/**
 * Shortest time in milliseconds for writing an answer that the node has whole. It matters if the
 * answer came just before the time limit, or waited for its turn on the connection.
 */
const MIN_WRITE_MS = 200;

export interface AnswerDeliveryContext {
  readonly clock: Clock;
  readonly timers: SuspendAwareTimers;
  readonly place: AnswerPlace;
  readonly writer: AnswerWriter;
  readonly end: RequestEnd;
}

/** The delivery of one answer. */
export interface AnswerDelivery {
  /**
   * Resolves when the answer has been passed on or has been broken off. The refusal if the answer
   * broke off before any of it could be written.
   */
  deliver(answer: OwnerAnswer): Promise<ClientRefusal | undefined>;
  /** The time of the request is up: what is not whole is broken off. */
  onTimeUp(): void;
  /** Stops the timer. Called at the end of the request. */
  stop(): void;
}

export function createAnswerDelivery(context: AnswerDeliveryContext): AnswerDelivery {
  const { clock, timers, place, writer, end } = context;
  let isTimeUp = false;
  let isWriting = false;
  /** Steady time in milliseconds until which the answer is written also when the time is up. */
  let writeUntil = Number.NEGATIVE_INFINITY;
  let cancelTimer = (): void => {};

  /** Breaks the answer off, a whole one not before `writeUntil`. */
  const limitWriting = (): void => {
    const leftMs = writeUntil - clock.now();
    if (leftMs <= 0) {
      end.breakOff(AnswerBreak.Deadline);
    } else {
      cancelTimer = timers.set(() => end.breakOff(AnswerBreak.Deadline), leftMs);
    }
  };

  const write = async (answer: OwnerAnswer): Promise<void> => {
    isWriting = true;
    if (answer.body.kind === 'bytes') {
      writeUntil = clock.now() + MIN_WRITE_MS;
    }
    if (isTimeUp) {
      limitWriting();
    }
    try {
      await writer.answer(answer);
    } catch {
      // By the end of the answer its owner has found out whether the back end has crashed.
      await answer.end;
      end.breakOff(isTimeUp ? AnswerBreak.Deadline : AnswerBreak.Lost);
    }
  };

  return {
    deliver: async (answer) => {
      let hasBroken = false;
      void answer.end?.then((reason) => {
        hasBroken = reason !== undefined;
      });
      const isFirst = await place.turn();
      if (!isFirst || end.hasEnded) {
        discardBody(answer.body);
        return undefined;
      }
      if (hasBroken) {
        return isTimeUp ? TOO_LATE : LOST;
      }
      end.decide(answer.status, RequestEnding.Answered);
      await write(answer);
      return undefined;
    },
    onTimeUp: () => {
      isTimeUp = true;
      if (isWriting) {
        limitWriting();
      }
    },
    stop: () => cancelTimer(),
  };
}
