/** What commands print: sentences and tables for people, JSON for programs. */

/** Where a command's result goes. */
export interface Output {
  /** On standard output; `render` is called for people only. */
  result(value: unknown, render: () => string): void;
  /** On standard error for people, on standard output as JSON. */
  failure(value: unknown, text: string): void;
}

/** Writes a text somewhere. */
export type Write = (text: string) => void;

export function createOutput(isJson: boolean, write: Write, writeError: Write): Output {
  const json = (value: unknown) => write(`${JSON.stringify(value)}\n`);
  return {
    result: (value, render) => (isJson ? json(value) : write(`${render()}\n`)),
    failure: (value, text) => (isJson ? json(value) : writeError(`${text}\n`)),
  };
}

/** Rows in aligned columns below a heading. */
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
