/** Formats plain-text tables for a terminal. */
import Table from "cli-table3";

const noBorder = Object.fromEntries(
    [
        "top",
        "top-mid",
        "top-left",
        "top-right",
        "bottom",
        "bottom-mid",
        "bottom-left",
        "bottom-right",
        "left",
        "left-mid",
        "mid",
        "mid-mid",
        "right",
        "right-mid",
    ].map(edge => [edge, ""]),
);

/** Formats rows under headings, with aligned columns. */
export function renderTable(headings: readonly string[], rows: readonly (readonly unknown[])[]): string {
    const table = new Table({
        head: [...headings],
        chars: { ...noBorder, middle: "  " },
        style: { "head": [], "border": [], "padding-left": 0, "padding-right": 0 },
    });
    table.push(...rows.map(row => row.map(cell => cell === undefined ? "-" : String(cell))));
    return table.toString().split("\n").map(line => line.trimEnd()).join("\n");
}
