/** Changes of single columns given on the command line. */

const LIST_COLUMNS = new Set(["dataCentres", "keyHashes", "models", "services", "urls"]);
const TEXT_COLUMNS = new Set(["version", "name", "path"]);

/** Parses `COLUMN=VALUE`. An empty value clears the cell. List items are separated by spaces or commas. */
export function parseChange(change: string): [column: string, value: unknown] {
    const column = change.slice(0, change.indexOf("="));
    const value = change.slice(change.indexOf("=") + 1);
    if (LIST_COLUMNS.has(column)) {
        return [column, value.split(/[ ,]+/).filter(item => item !== "")];
    }
    if (value === "") {
        return [column, undefined];
    }
    return [column, /^-?\d+(\.\d+)?$/.test(value) && !TEXT_COLUMNS.has(column) ? Number(value) : value];
}
