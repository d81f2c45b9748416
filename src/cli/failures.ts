/** Prints why a command failed and returns the exit code. */
import { type Finding, formatFinding } from '../model/finding.js';
import type { StoreFailure } from '../source/object-store.js';
import { ExitCode } from './exitCode.js';
import type { Output } from './output.js';

/** Reports input that does not pass the checks. */
export function reportRejected(findings: readonly Finding[], output: Output): ExitCode {
  output.failure({ findings }, findings.map(formatFinding).join('\n'));
  return ExitCode.Rejected;
}

/** Reports a failed call to the store. */
export function reportUnavailable(failure: StoreFailure, output: Output): ExitCode {
  output.failure({ failure }, `The call to the store failed: ${failure}.`);
  return ExitCode.Unavailable;
}

/** Reports a failed write. After `unknown` the store may have done it. */
export function reportFailedWrite(failure: StoreFailure, output: Output): ExitCode {
  if (failure !== 'unknown') {
    return reportUnavailable(failure, output);
  }
  output.failure(
    { kind: 'unknown' },
    'It is unknown whether the change was written: run the command again.',
  );
  return ExitCode.Unknown;
}
