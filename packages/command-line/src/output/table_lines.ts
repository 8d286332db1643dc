/** Text between two columns. */
const COLUMN_SEPARATOR = '  ';

/** Formats rows with aligned columns; the last column is not padded. */
export function tableLines(
  rows: readonly (readonly string[])[],
): readonly string[] {
  const columns = Math.max(0, ...rows.map(row => row.length));
  const widths = Array.from({length: columns}, (_, column) =>
    Math.max(...rows.map(row => row[column]?.length ?? 0)),
  );
  return rows.map(row =>
    row
      .map((cell, column) =>
        column === row.length - 1 ? cell : cell.padEnd(widths[column] ?? 0),
      )
      .join(COLUMN_SEPARATOR),
  );
}
