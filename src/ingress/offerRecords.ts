/** Records the offers of one request and their results, for the log. */
import type { Clock } from '../model/clock.js';
import { type Attempt, SILENT } from './attempt.js';
import type { OfferRecord } from './requestRecord.js';

export interface OfferRecords {
  /** In the order in which the first results arrived. */
  readonly history: readonly OfferRecord[];
  /** Records a result of an offer; it replaces an earlier one. */
  note(attempt: Attempt, result: string): void;
}

export function createOfferRecords(clock: Clock): OfferRecords {
  const records = new Map<Attempt, OfferRecord>();
  return {
    get history() {
      return [...records.values()];
    },
    note: (attempt, result) => {
      const { entry, startedAt } = attempt;
      const earlier = records.get(attempt);
      const wasSilent = earlier?.wasSilent === true || earlier?.result === SILENT;
      records.set(attempt, {
        owner: entry.record.node,
        zone: entry.record.zone,
        result,
        tookMs: Math.round(clock.now() - startedAt),
        ...(wasSilent ? { wasSilent } : {}),
      });
    },
  };
}
