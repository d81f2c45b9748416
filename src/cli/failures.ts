/** Commands that could not be carried out: what is printed, and the exit code. */
import { type Finding, formatFinding } from '../model/finding.js';
import type { StoreFailure } from '../source/object-store.js';
import { ExitCode } from './exitCode.js';
import type { Output } from './output.js';

/** What was given does not pass the checks. */
export function reportRejected(findings: readonly Finding[], output: Output): ExitCode {
  output.failure({ findings }, findings.map(formatFinding).join('\n'));
  return ExitCode.Rejected;
}

/** The store has not done what was asked. */
export function reportUnavailable(failure: StoreFailure, output: Output): ExitCode {
  output.failure({ failure }, `The store cannot be used: ${failure}.`);
  return ExitCode.Unavailable;
}
