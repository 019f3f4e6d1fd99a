/** Changes of single columns given on the command line. */
import { columnTypeOf } from "@damaskvale/core";

const NUMBER = /^-?\d+(\.\d+)?$/;

/** Parses `COLUMN=VALUE`. An empty value clears the cell. List items are separated by spaces or commas. */
export function parseChange(change: string): [column: string, value: unknown] {
    const column = change.slice(0, change.indexOf("="));
    const value = change.slice(change.indexOf("=") + 1);
    const type = columnTypeOf(column);
    if (type === "list") {
        return [column, value.split(/[ ,]+/).filter(item => item !== "")];
    }
    if (value === "") {
        return [column, undefined];
    }
    return [column, type === "number" && NUMBER.test(value) ? Number(value) : value];
}
