/** Prints the result of a write to the configuration. */
import { ExitCode } from './exitCode.js';
import type { Output } from './output.js';
import type { WriteResult } from './storedConfiguration.js';

/** Prints the result and returns the exit code of the program. */
export function reportWrite(result: WriteResult, output: Output): ExitCode {
  const { kind } = result;
  const printed = kind === 'accepted' ? { kind, version: result.version } : result;
  output.result(printed, () => describeWrite(result));
  switch (result.kind) {
    case 'accepted':
      return ExitCode.Ok;
    case 'conflict':
      return ExitCode.Conflict;
    case 'rejected':
      return ExitCode.Rejected;
    case 'unavailable':
      return ExitCode.Unavailable;
    default:
      return ExitCode.Unknown;
  }
}

function describeWrite(result: WriteResult): string {
  switch (result.kind) {
    case 'accepted':
      return `Accepted as version ${result.version}.`;
    case 'conflict':
      return (
        `Another writer has changed it: the store holds version ${result.version ?? '?'}. ` +
        'Nothing was written.'
      );
    case 'unknown':
      return result.failure === 'conflict'
        ? 'Another writer has changed it. It is unknown whether the change was written before.'
        : 'It is unknown whether the change was written: apply the same file again.';
    default:
      return `Nothing was written: the store reported ${result.failure}.`;
  }
}
