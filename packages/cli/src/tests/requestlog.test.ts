/** Tests that the log lines relevant to a request are found in the logs of several daemons and sorted by time. */
import { expect } from "chai";
import { findRequestLines, parseLogLines, renderLogLine } from "../requestlog.js";

const line = (second: number, daemon: string, event: number, fields: object): string =>
    JSON.stringify({
        name: "damaskvaled",
        daemon,
        pid: 1,
        level: 30,
        event,
        msg: `Event ${event}.`,
        time: `2026-12-04T01:00:${String(second).padStart(2, "0")}.000Z`,
        v: 0,
        ...fields,
    });
const log = [
    line(12, "b", 421, { kind: "leave", host: "head", group: "g" }),
    line(10, "a", 321, { requestId: "r", target: "head" }),
    "not a line of a daemon",
    `  11.2 edge-a ${line(11, "a", 326, { target: "head", silentMilliseconds: 520 })}`,
    line(13, "a", 325, { requestId: "r", outcome: "complete" }),
    line(11, "a", 321, { requestId: "other", target: "head" }),
    line(11, "b", 421, { kind: "join", host: "elsewhere", group: "h" }),
    line(40, "b", 421, { kind: "join", host: "head", group: "k" }),
    "{broken",
].join("\n");

describe("findRequestLines", () => {
    it("returns the lines of the request and those about its targets at that time, sorted by time", () => {
        const lines = findRequestLines(parseLogLines(log), "r");
        expect(lines.map(({ daemon, event }) => `${daemon} ${event}`)).to.deep.equal([
            "a 321",
            "a 326",
            "b 421",
            "a 325",
        ]);
    });

    it("returns no lines if the request is not in the logs", () => {
        expect(findRequestLines(parseLogLines(log), "unknown")).to.deep.equal([]);
    });

    it("renders the fields that are not common to all lines", () => {
        const [first] = findRequestLines(parseLogLines(log), "r");
        expect(first === undefined ? "" : renderLogLine(first)).to.equal(
            "2026-12-04T01:00:10.000Z  a  321  Event 321.  requestId=r  target=head",
        );
    });
});
