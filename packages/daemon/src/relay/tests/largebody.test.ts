/** A large body reaches the caller whole, and one that never ends is ended. Neither is kept in memory. */
import { expect } from "chai";
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { relayThroughSockets, type TargetScript } from "./socketfixture.js";

const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
const CHUNK_BYTES = 16_384;
const LARGE_BODY_CHUNKS = 320;
const PAUSE_MILLISECONDS = 400;
/** A body that is larger than what the buffers of the sockets on its way hold at first. */
const SLOW_BODY_CHUNKS = 4 * LARGE_BODY_CHUNKS;
/** Memory that one response may hold: what is kept before it is passed on, and what waits for a slow caller. */
const HELD_BYTES = 2 * 1_048_576;
const chunk = "x".repeat(CHUNK_BYTES);

type Framing = "stated" | "chunked" | "unmarked";

const heads: Readonly<Record<Framing, (chunks: number) => string>> = {
    stated: chunks => `${head}Content-Length: ${chunks * CHUNK_BYTES}\r\n\r\n`,
    chunked: () => `${head}Transfer-Encoding: chunked\r\n\r\n`,
    unmarked: () => `${head}Connection: close\r\n\r\n`,
};
const encoded: Readonly<Record<Framing, string>> = {
    stated: chunk,
    chunked: `${CHUNK_BYTES.toString(16)}\r\n${chunk}\r\n`,
    unmarked: chunk,
};

/** Writes a body of a number of chunks as fast as it is read, and then ends it. */
const body = (framing: Framing, chunks: number): TargetScript => (socket: Socket) => {
    socket.write(heads[framing](chunks));
    const writeOn = (left: number): void => {
        if (socket.destroyed) {
            return;
        }
        if (left === 0) {
            socket.end(framing === "chunked" ? "0\r\n\r\n" : "");
            return;
        }
        if (socket.write(encoded[framing])) {
            setImmediate(() => writeOn(left - 1));
        }
        else {
            socket.once("drain", () => writeOn(left - 1));
        }
    };
    writeOn(chunks);
};
const sound: TargetScript = socket => socket.end(`${head}Content-Length: 2\r\n\r\nok`);

/** Reads nothing of the response for a while. */
function pauseAtFirst(request: ClientRequest): void {
    request.once("response", response => {
        response.pause();
        setTimeout(() => response.resume(), PAUSE_MILLISECONDS);
    });
}

describe("large body (real sockets)", () => {
    (["stated", "chunked", "unmarked"] as const).forEach(framing =>
        it(`delivers a body of 5 MB whole (${framing})`, async () => {
            const result = await relayThroughSockets({ kind: "once" }, [body(framing, LARGE_BODY_CHUNKS)]);
            expect([result.status, result.outcome, result.body.length]).to.deep.equal([
                200,
                "complete",
                LARGE_BODY_CHUNKS * CHUNK_BYTES,
            ]);
        })
    );

    it("delivers a large body of a repeatable request whole if every target sends it without a length", async () => {
        const target = body("chunked", LARGE_BODY_CHUNKS);
        const result = await relayThroughSockets({ kind: "repeatable" }, [target, target]);
        expect([result.status, result.outcome, result.body.length, result.sends]).to.deep.equal([
            200,
            "complete",
            LARGE_BODY_CHUNKS * CHUNK_BYTES,
            2,
        ]);
    });

    it("sends a repeatable request to another target if a body does not end", async () => {
        const targets = [body("unmarked", Number.POSITIVE_INFINITY), sound];
        const result = await relayThroughSockets({ kind: "repeatable", timeoutMilliseconds: 3_000 }, targets);
        expect([result.status, result.body, result.sends]).to.deep.equal([200, "ok", 2]);
    });

    it("breaks off a body that does not end if the request is not repeatable", async () => {
        const target = body("chunked", Number.POSITIVE_INFINITY);
        const result = await relayThroughSockets({ kind: "once", timeoutMilliseconds: 8_000 }, [target]);
        expect([result.status, result.outcome]).to.deep.equal([200, "broken-off"]);
        expect(result.milliseconds).to.be.below(5_000);
    });

    it("breaks off an error of a stream's target that does not end", async () => {
        const error: TargetScript = socket => {
            socket.write("HTTP/1.1 500 Internal Server Error\r\nRequest-Id: r1\r\n\r\n");
            body("unmarked", Number.POSITIVE_INFINITY)(socket);
        };
        const result = await relayThroughSockets({ kind: "stream", timeoutMilliseconds: 8_000 }, [error]);
        expect([result.status, result.outcome]).to.deep.equal([500, "broken-off"]);
        expect(result.milliseconds).to.be.below(5_000);
    });

    it("breaks off a large body that is cut off", async () => {
        const target: TargetScript = socket => {
            socket.write(heads.stated(LARGE_BODY_CHUNKS));
            socket.end(chunk.repeat(LARGE_BODY_CHUNKS / 2));
        };
        const result = await relayThroughSockets({ kind: "once", timeoutMilliseconds: 3_000 }, [target]);
        expect(result.milliseconds).to.be.below(1_000);
        expect([result.status, result.outcome]).to.deep.equal([200, "broken-off"]);
    });

    const slowCallers = [
        { name: "large body of a plain target", kind: "once", status: "200 OK" },
        { name: "error of a stream's target", kind: "stream", status: "500 Internal Server Error" },
    ] as const;
    slowCallers.forEach(({ name, kind, status }) =>
        it(`does not read the ${name} ahead of a slow caller`, async () => {
            const target = body("stated", SLOW_BODY_CHUNKS);
            const script: TargetScript = socket => {
                const write = socket.write.bind(socket);
                // The first bytes are the head; its status is replaced.
                socket.write = ((bytes: string) => write(bytes.replace("200 OK", status))) as Socket["write"];
                target(socket);
            };
            const result = await relayThroughSockets({ kind, onCaller: pauseAtFirst }, [script]);
            expect([result.outcome, result.body.length]).to.deep.equal([
                "complete",
                SLOW_BODY_CHUNKS * CHUNK_BYTES,
            ]);
            expect(result.mostHeldBytes).to.be.below(HELD_BYTES);
        })
    );
});
