/**
 * Plain text tables for the terminal.
 */

/** Formats rows under upper-case headings; each column is as wide as its longest cell. */
export function formatTable(headings: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [headings.map(heading => heading.toUpperCase()), ...rows];
    const widths = headings.map((heading, column) => Math.max(...lines.map(line => (line[column] ?? "").length)));
    return lines
        .map(line => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd())
        .join("\n");
}
