/**
 * Findings: all problems of an input, each with its location, collected and
 * reported together.
 */

/** One problem in an input. */
export interface Finding {
  /** Stable, machine-readable code, such as `dangling-reference`. */
  readonly code: string;
  /** Location in the input: an object key followed by a field path. */
  readonly path: string;
  /** The problem and what would be valid instead, in one sentence. */
  readonly message: string;
  /** Source file, if the input was read from one. */
  readonly file?: string;
  /** Line in `file`, counted from 1. */
  readonly line?: number;
}

/** Formats a finding as one line for a terminal. */
export function formatFinding(finding: Finding): string {
  const location = finding.file ? `${finding.file}:${finding.line ?? 1}: ` : '';
  return `${location}${finding.path}: ${finding.message} [${finding.code}]`;
}
