/** Reads kept output of nodes: JSON lines, with or without the time and name that a bench puts before them. */
import { readFileSync } from 'node:fs';
import type { LogLine } from './decisionLogCheck.js';

/** Parses every line that holds a log line; anything else is passed over. */
export function parseLogLines(text: string): LogLine[] {
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{"at":');
    return start < 0 ? [] : parseLine(line.slice(start), sharedTimeOf(line.slice(0, start)));
  });
}

export function readLogFile(path: string): LogLine[] {
  return parseLogLines(readFileSync(path, 'utf8'));
}

/** A line that was cut off when its node died is passed over too. */
function parseLine(text: string, sharedAt: number | undefined): LogLine[] {
  try {
    const line = JSON.parse(text) as LogLine;
    return [sharedAt === undefined ? line : { ...line, sharedAt }];
  } catch {
    return [];
  }
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Milliseconds of the time in seconds that a bench puts before a line, if it does. */
function sharedTimeOf(prefix: string): number | undefined {
  const seconds = /^\s*(-?\d+(?:\.\d+)?)/.exec(prefix)?.[1];
  return seconds === undefined ? undefined : Number(seconds) * MILLISECONDS_PER_SECOND;
}
