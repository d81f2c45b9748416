/**
 * Applies what the back end reports about itself in its answers. A notice takes effect as soon as the
 * head of the answer has been read, and holds for the incarnation that sent it.
 */
import type { Clock } from '../model/clock.js';
import type { Finding } from '../model/finding.js';
import { type BackEndIncarnation, isSameIncarnation } from '../registry/backEndIncarnation.js';
import type { BackEndLimit } from './backEndLimit.js';
import type { BackEndNotice } from './backEndNotice.js';
import type { LoadReport } from './loadReport.js';

/** The kind of answer that contains a notice. */
export enum NoticeSource {
  /** The back end ran the request. */
  Answer = 'answer',
  /** The back end rejected the request without running it. */
  Rejection = 'rejection',
  Health = 'health',
}

/** The fields of a notice that bound what the back end may be sent. */
export enum NoticeField {
  Limit = 'limit',
  Leaving = 'leaving',
}

/** A change that a notice has made, for the log. */
export interface NoticeChange {
  readonly incarnation: BackEndIncarnation;
  readonly source: NoticeSource;
  readonly field: NoticeField;
  /** Present if the limit has changed: the new one, or undefined if it was lifted. */
  readonly limitPerS?: number | undefined;
}

/** The parts of the owner that notices affect. */
export interface NoticeHandlerContext {
  readonly clock: Clock;
  readonly limit: BackEndLimit;
  readonly currentIncarnation: () => BackEndIncarnation | undefined;
  readonly onLoad: (load: LoadReport) => void;
  /** The back end must receive no new requests. Called once per incarnation. */
  readonly onLeaving: (incarnation: BackEndIncarnation) => void;
  readonly onNoticeChange: (change: NoticeChange) => void;
  /** A field of a notice cannot be read. Called once for a value that is repeated. */
  readonly onUnreadableNotice: (
    incarnation: BackEndIncarnation,
    field: NoticeField,
    finding: Finding,
  ) => void;
}

export interface NoticeHandler {
  /** Ignores a notice of an incarnation that is not the current one. */
  handle(notice: BackEndNotice, incarnation: BackEndIncarnation, source: NoticeSource): void;
  /** Called for a new incarnation. */
  reset(): void;
}

export function createNoticeHandler(context: NoticeHandlerContext): NoticeHandler {
  const { clock, limit, currentIncarnation, onLoad, onLeaving } = context;
  const { onNoticeChange, onUnreadableNotice } = context;
  let isLeaving = false;
  /** The message of the last finding that was reported for each field. */
  const reported = new Map<NoticeField, string>();

  const reportOnce = (
    incarnation: BackEndIncarnation,
    field: NoticeField,
    finding: Finding,
  ): void => {
    if (reported.get(field) !== finding.message) {
      reported.set(field, finding.message);
      onUnreadableNotice(incarnation, field, finding);
    }
  };

  const noteLimit = (
    limitPerS: number | undefined,
    incarnation: BackEndIncarnation,
    source: NoticeSource,
  ): void => {
    // Only the answer to a request that has run shows that the back end is no longer in need.
    const hasChanged =
      (limitPerS !== undefined || source === NoticeSource.Answer) &&
      limit.note(limitPerS, clock.now());
    if (hasChanged) {
      onNoticeChange({ incarnation, source, field: NoticeField.Limit, limitPerS });
    }
  };

  return {
    handle: (notice, incarnation, source) => {
      const current = currentIncarnation();
      if (!current || !isSameIncarnation(incarnation, current)) {
        return;
      }
      if (source === NoticeSource.Answer) {
        limit.noteAnswered();
      }
      if (notice.load) {
        onLoad(notice.load);
      }
      notice.limitPerS.caseOf({
        Left: (finding) => reportOnce(incarnation, NoticeField.Limit, finding),
        Right: (limitPerS) => noteLimit(limitPerS, incarnation, source),
      });
      notice.isLeaving.caseOf({
        Left: (finding) => reportOnce(incarnation, NoticeField.Leaving, finding),
        Right: (isNowLeaving) => {
          if (isNowLeaving && !isLeaving) {
            isLeaving = true;
            onLeaving(incarnation);
            onNoticeChange({ incarnation, source, field: NoticeField.Leaving });
          }
        },
      });
    },
    reset: () => {
      reported.clear();
      isLeaving = false;
    },
  };
}
