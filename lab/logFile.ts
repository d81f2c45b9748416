/** Reads kept output of nodes: JSON lines, with or without the time and name that a bench puts before them. */
import { readFileSync } from 'node:fs';
import type { LogLine } from './decisionLogCheck.js';

/** Parses every line that holds a log line; anything else is passed over. */
export function parseLogLines(text: string): LogLine[] {
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{"at":');
    return start < 0 ? [] : parseLine(line.slice(start));
  });
}

export function readLogFile(path: string): LogLine[] {
  return parseLogLines(readFileSync(path, 'utf8'));
}

/** A line that was cut off when its node died is passed over too. */
function parseLine(text: string): LogLine[] {
  try {
    return [JSON.parse(text) as LogLine];
  } catch {
    return [];
  }
}
