/** What experiments share: rows for a table and a machine-readable result. */

/** One row of an experiment's result: named figures. */
export type Row = Readonly<Record<string, string | number>>;

/** A finished experiment. */
export interface ExperimentResult {
  readonly experiment: string;
  readonly rows: readonly Row[];
}

/** Rounds a figure for a table. */
export function round(value: number, digits = 1): number {
  const factor = 10 ** digits;
  return Math.round(value * factor) / factor;
}
