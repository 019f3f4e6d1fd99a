/** A stopping daemon cut off requests that came late on kept connections: review/4, LOST. */
import { expect } from "chai";
import { createRelay } from "../relay.js";
import { closeCallers, connectCaller, startFixture, statusesOf, wait } from "./callerfixture.js";
import { createRelayFixture, type RelayFixture, responseHeads } from "./fixture.js";

const SHUTDOWN_MILLISECONDS = 3_400;
/** After the daemon has left the rotation, and before it ends the requests that are left. */
const LATE_MILLISECONDS = 2_700;
const LONG_MILLISECONDS = 10_000;
const SHORT_MILLISECONDS = 100;

const requestOf = (path: string): string => `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb`;

interface Case {
    readonly name: string;
    readonly kind: "once" | "stream";
    /** Whether the second request is sent together with the first one. */
    readonly pipelined: boolean;
    readonly path: "/long" | "/short";
    readonly statuses: readonly number[];
    readonly sends: number;
}

const cases: readonly Case[] = (["once", "stream"] as const).flatMap(kind =>
    [false, true].flatMap((pipelined): Case[] => {
        const name = `${pipelined ? "pipelined " : ""}request (${kind})`;
        return [
            {
                name: `refuses a ${name} that may last longer than the daemon`,
                kind,
                pipelined,
                path: "/long",
                statuses: [200, 503],
                sends: 1,
            },
            ...(pipelined
                ? []
                : [{
                    name: `passes a ${name} on whose deadline is before`,
                    kind,
                    pipelined,
                    path: "/short" as const,
                    statuses: [200, 504],
                    sends: 2,
                }]),
        ];
    })
);

/** Plays a response that began before the signal and ends late, and the next request on its connection. */
async function sendLate({ kind, pipelined, path }: Case): Promise<{ received: string; fixture: RelayFixture; }> {
    const fixture = createRelayFixture({ kind, timeoutMilliseconds: LONG_MILLISECONDS });
    const { parts, context, sends } = fixture;
    const deadlines: Readonly<Record<string, number>> = { "/short": SHORT_MILLISECONDS };
    const relay = createRelay({
        ...parts,
        protocol: {
            ...parts.protocol,
            decodeRequest: (...[, url]) => ({ ...context.request, deadlineMilliseconds: deadlines[url] }),
        },
    });
    const { port, listeners } = await startFixture(relay, SHUTDOWN_MILLISECONDS);
    const caller = await connectCaller(port);
    caller.send(requestOf("/long") + (pipelined ? requestOf(path) : ""));
    await wait(50);
    const receiver = sends[0]?.receiver;
    receiver?.sent();
    receiver?.head(responseHeads.stream);
    receiver?.data(Buffer.from("data: x\n\n"));
    const stopped = listeners.shutDown();
    await wait(LATE_MILLISECONDS);
    receiver?.ended();
    if (!pipelined) {
        caller.send(requestOf(path));
    }
    await stopped;
    return { received: caller.received(), fixture };
}

describe("request that arrives late at a stopping daemon", function() {
    this.timeout(10_000);
    after(closeCallers);

    it("is refused unless it ends before the daemon does", async () => {
        const outcomes = await Promise.all(cases.map(sendLate));
        const seen = outcomes.map(({ received, fixture }, index) => ({
            name: cases[index]?.name,
            statuses: statusesOf(received),
            sends: fixture.sends.length,
        }));
        expect(seen).to.deep.equal(cases.map(({ name, statuses, sends }) => ({ name, statuses, sends })));
    });
});
