/** Renders rows of equal length as a table; the first column is left-aligned, the others right-aligned. */
export const formatTable = (rows: readonly (readonly string[])[]): string => {
    const widths = (rows[0] ?? []).map((unused, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)));
    const format = (cell: string, column: number) =>
        column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0);
    return rows.map(row => row.map(format).join("  ").trimEnd()).join("\n");
};
