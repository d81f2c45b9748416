/** Which lives of back ends have ended, or are about to: they get no more work, whatever comes late of them. */
import type { BackEndIncarnation } from './backEndIncarnation.js';

/** Back ends of which ended lives are remembered, the latest. */
const MAX_REMEMBERED = 256;

export interface EndedIncarnations {
  /** This life, and all before it of the same back end, have ended. */
  add(life: BackEndIncarnation): void;
  /** True if the life is known to have ended. One that began later under the same id has not. */
  has(life: BackEndIncarnation): boolean;
}

export function createEndedIncarnations(): EndedIncarnations {
  /** The latest birth that has ended, by id; undefined while none was told. */
  const births = new Map<string, number | undefined>();
  return {
    add: ({ instance, bornAt }) => {
      const known = births.get(instance);
      const latest = bornAt === undefined ? known : Math.max(bornAt, known ?? bornAt);
      // Put in anew, so that the oldest are forgotten first.
      births.delete(instance);
      births.set(instance, latest);
      const [oldest] = births.keys();
      if (births.size > MAX_REMEMBERED && oldest !== undefined) {
        births.delete(oldest);
      }
    },
    has: ({ instance, bornAt }) => {
      const latest = births.get(instance);
      return births.has(instance) && (bornAt === undefined || (latest ?? -1) >= bornAt);
    },
  };
}
