/** A stream that has begun never shows its caller the error of the next target, and does not end as complete: ORDER, MIXED. */
import { expect } from "chai";
import type { ResponseHead } from "../../ports/relayprotocol.js";
import { createStreamRelay } from "../streamrelay.js";
import { createRelayFixture, responseHeads } from "./fixture.js";

const FIRST_EVENT = "id: 1\ndata: x\n\n";
const ERROR_TEXT = `{"error":"out of memory"}\n\n`;

const answers: readonly { readonly name: string; readonly head: ResponseHead; readonly body: string; }[] = [
    { name: "an error", head: responseHeads.error, body: ERROR_TEXT },
    {
        name: "an error that ends with its connection",
        head: { ...responseHeads.error, delimited: false },
        body: ERROR_TEXT,
    },
    { name: "a refusal", head: responseHeads.notRun, body: ERROR_TEXT },
    { name: "a 503 that may have run", head: responseHeads.silent503, body: ERROR_TEXT },
    { name: "another target's answer", head: responseHeads.misdirected, body: ERROR_TEXT },
    { name: "the answer to another request", head: responseHeads.foreign, body: "id: 2\ndata: y\n\n" },
    { name: "a success that is no stream", head: responseHeads.stream, body: ERROR_TEXT },
    { name: "a success with a head as its body", head: responseHeads.stream, body: "HTTP/1.1 500 Error\r\n\r\n\n\n" },
    { name: "a success without a body", head: responseHeads.stream, body: "" },
];

describe("stream that has begun and whose next target answers with something else", () => {
    [true, false].forEach(delimited =>
        answers.forEach(({ name, head, body }) =>
            it(`is broken off after its events: ${name} (${delimited ? "marked end" : "end of connection"})`, () => {
                const { context, parts, sends, caller } = createRelayFixture({ kind: "stream", resumable: true });
                createStreamRelay(context, parts, () => undefined).start();
                const [first] = sends;
                first?.receiver.sent();
                first?.receiver.head({ ...responseHeads.stream, delimited });
                first?.receiver.data(Buffer.from(FIRST_EVENT));
                first?.receiver.failed(new Error("reset"));
                const [, second] = sends;
                second?.receiver.sent();
                second?.receiver.head(head);
                if (second?.cancelled === false) {
                    second.receiver.data(Buffer.from(body));
                    second.receiver.ended();
                }
                expect([caller.body, caller.ended, caller.destroyed]).to.deep.equal([FIRST_EVENT, false, true]);
            })
        )
    );
});
