/** What troubles and versions make of a back end's requests: several may be under way at once. */
import type { ApplicationStandIn, Run, RunFate } from './application-stand-in.js';

export type Fate = (run: Run) => RunFate;

const fates = new WeakMap<ApplicationStandIn, Set<Fate>>();

/** Adds one; the call that is returned takes it away again. */
export function addFate(application: ApplicationStandIn, fate: Fate): () => void {
  const known = fates.get(application) ?? new Set<Fate>();
  fates.set(application, known.add(fate));
  application.fateOf = (run) => Object.assign({}, ...[...known].map((each) => each(run)));
  return () => known.delete(fate);
}
