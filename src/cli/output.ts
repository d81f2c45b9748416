/** Prints the results of commands: sentences and tables for people, or JSON for programs. */

export interface Output {
  /** Prints to standard output. `render` is called only if the output is not JSON. */
  result(value: unknown, render: () => string): void;
  /** Prints `text` to standard error, or `value` as JSON to standard output. */
  failure(value: unknown, text: string): void;
}

export type Write = (text: string) => void;

export function createOutput(isJson: boolean, write: Write, writeError: Write): Output {
  const json = (value: unknown) => write(`${JSON.stringify(value)}\n`);
  return {
    result: (value, render) => (isJson ? json(value) : write(`${render()}\n`)),
    failure: (value, text) => (isJson ? json(value) : writeError(`${text}\n`)),
  };
}

/** Formats rows in aligned columns below a heading. */
export function tableOf(
  heading: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const texts = [heading, ...rows].map((row) => row.map(String));
  const widths = heading.map((_, column) =>
    Math.max(...texts.map((row) => row[column]?.length ?? 0)),
  );
  return texts
    .map((row) => {
      const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0));
      return cells.join('  ').trimEnd();
    })
    .join('\n');
}
