/**
 * The caller sees a response as complete exactly if the target's response was: with a marked end or not, at the first
 * target or at one that resumed the stream. A request that was not answered before its first event gets a status.
 */
import { expect } from "chai";
import type { Socket } from "node:net";
import { type CallerOutcome, relayThroughSockets, type TargetScript } from "./socketfixture.js";

const event = (id: number): string => `id: ${id}\ndata: x\n\n`;
const RESET_DELAY_MILLISECONDS = 50;

type Framing = "chunked" | "unmarked";
type Ending = "closed" | "reset" | "open";

const heads: Readonly<Record<Framing, string>> = {
    chunked: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
    unmarked: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n",
};
const encoders: Readonly<Record<Framing, (text: string) => string>> = {
    chunked: text => text === "" ? "" : `${text.length.toString(16)}\r\n${text}\r\n`,
    unmarked: text => text,
};
const endings: Readonly<Record<Ending, (socket: Socket) => void>> = {
    closed: socket => socket.end(),
    reset: socket => void setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MILLISECONDS),
    open: () => undefined,
};

const answer = (framing: Framing, body: string, ending: Ending): TargetScript => socket => {
    socket.write(heads[framing] + encoders[framing](body));
    endings[ending](socket);
};
const marked = (body: string): TargetScript => socket =>
    socket.end(`${heads.chunked}${encoders.chunked(body)}0\r\n\r\n`);

interface Case {
    readonly name: string;
    readonly resumable: boolean;
    readonly targets: readonly TargetScript[];
    readonly status: number | undefined;
    readonly body?: string;
    readonly outcome: CallerOutcome;
}

const both = event(1) + event(2);
const partial = `${event(1)}id: 2\nda`;
const cases: readonly Case[] = [
    {
        name: "completes an unmarked stream that was closed after an event",
        resumable: false,
        targets: [answer("unmarked", both, "closed")],
        status: 200,
        body: both,
        outcome: "complete",
    },
    {
        name: "breaks off an unmarked stream that was closed inside an event",
        resumable: false,
        targets: [answer("unmarked", partial, "closed")],
        status: 200,
        outcome: "broken-off",
    },
    {
        name: "breaks off an unmarked stream that was reset after an event",
        resumable: false,
        targets: [answer("unmarked", both, "reset")],
        status: 200,
        outcome: "broken-off",
    },
    {
        name: "answers 502 for an unmarked stream that was closed before any event",
        resumable: false,
        targets: [answer("unmarked", "", "closed")],
        status: 502,
        outcome: "complete",
    },
    {
        name: "answers 502 for a chunked stream that was reset before any event",
        resumable: false,
        targets: [answer("chunked", "", "reset")],
        status: 502,
        outcome: "complete",
    },
    {
        name: "breaks off a chunked stream that was closed without its marked end",
        resumable: false,
        targets: [answer("chunked", both, "closed")],
        status: 200,
        outcome: "broken-off",
    },
    {
        name: "completes a chunked stream resumed at a target whose unmarked response was closed after an event",
        resumable: true,
        targets: [answer("chunked", event(1), "closed"), answer("unmarked", event(2), "closed")],
        status: 200,
        body: both,
        outcome: "complete",
    },
    {
        name: "breaks off a chunked stream resumed at a target whose unmarked response was closed inside an event",
        resumable: true,
        targets: [answer("chunked", event(1), "closed"), answer("unmarked", `${event(2)}id`, "closed")],
        status: 200,
        outcome: "broken-off",
    },
    {
        name: "breaks off a chunked stream resumed at a target whose unmarked response was reset after an event",
        resumable: true,
        targets: [answer("chunked", event(1), "closed"), answer("unmarked", event(2), "reset")],
        status: 200,
        outcome: "broken-off",
    },
    {
        name: "breaks off a chunked stream resumed at a target whose unmarked response was closed before any event",
        resumable: true,
        targets: [answer("chunked", event(1), "closed"), answer("unmarked", "", "closed")],
        status: 200,
        outcome: "broken-off",
    },
    {
        name: "completes an unmarked stream that was closed inside an event and resumed at a target that marks its end",
        resumable: true,
        targets: [answer("unmarked", partial, "closed"), marked(event(2))],
        status: 200,
        body: both,
        outcome: "complete",
    },
    {
        name: "completes an unmarked stream that was reset and resumed at a target whose unmarked response was closed",
        resumable: true,
        targets: [answer("unmarked", event(1), "reset"), answer("unmarked", event(2), "closed")],
        status: 200,
        body: both,
        outcome: "complete",
    },
    {
        name: "breaks off an unmarked stream that was resumed at a target that is cut off before its marked end",
        resumable: true,
        targets: [answer("unmarked", partial, "closed"), answer("chunked", event(2), "closed")],
        status: 200,
        outcome: "broken-off",
    },
    {
        name: "passes on the response of the second target if the first one failed before any event",
        resumable: true,
        targets: [answer("chunked", "", "reset"), answer("unmarked", both, "closed")],
        status: 200,
        body: both,
        outcome: "complete",
    },
];

const plainCases: readonly (Omit<Case, "resumable"> & { readonly kind: "repeatable" | "once"; })[] = [
    {
        name: "completes an unmarked response that was closed",
        kind: "once",
        targets: [answer("unmarked", "whole", "closed")],
        status: 200,
        body: "whole",
        outcome: "complete",
    },
    {
        name: "answers 502 for an unmarked response that was reset",
        kind: "once",
        targets: [answer("unmarked", "part", "reset")],
        status: 502,
        outcome: "complete",
    },
    {
        name: "completes an unmarked response of the second target after the first was reset",
        kind: "repeatable",
        targets: [answer("unmarked", "part", "reset"), answer("unmarked", "whole", "closed")],
        status: 200,
        body: "whole",
        outcome: "complete",
    },
];

describe("end of a response (real sockets)", () => {
    cases.forEach(({ name, resumable, targets, status, body, outcome }) =>
        it(name, async () => {
            const result = await relayThroughSockets({ kind: "stream", resumable }, targets);
            expect([result.status, result.outcome, result.sends]).to.deep.equal([status, outcome, targets.length]);
            if (body !== undefined) {
                expect(result.body).to.equal(body);
            }
        })
    );

    it("breaks off an unmarked stream that reaches its deadline after an event", async () => {
        const target = answer("unmarked", both, "open");
        const result = await relayThroughSockets({ kind: "stream", timeoutMilliseconds: 200 }, [target]);
        expect([result.status, result.outcome]).to.deep.equal([200, "broken-off"]);
    });

    it("answers 504 for a stream that reaches its deadline before any event", async () => {
        const target = answer("chunked", "", "open");
        const result = await relayThroughSockets({ kind: "stream", timeoutMilliseconds: 200 }, [target]);
        expect([result.status, result.outcome]).to.deep.equal([504, "complete"]);
    });

    it("passes on the response of the second target if the first one sends a missing event first", async () => {
        const targets = [answer("chunked", event(2), "open"), answer("unmarked", both, "closed")];
        const result = await relayThroughSockets({ kind: "stream", resumable: true }, targets);
        expect([result.status, result.outcome, result.body]).to.deep.equal([200, "complete", both]);
    });

    plainCases.forEach(({ name, kind, targets, status, body, outcome }) =>
        it(`${name} (plain, ${kind})`, async () => {
            const result = await relayThroughSockets({ kind }, targets);
            expect([result.status, result.outcome, result.sends]).to.deep.equal([status, outcome, targets.length]);
            if (body !== undefined) {
                expect(result.body).to.equal(body);
            }
        })
    );
});
