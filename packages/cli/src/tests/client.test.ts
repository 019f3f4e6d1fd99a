/** An answer that is no JSON comes from a daemon that was reached, or from something before it, and is told as it is. */
import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { z } from "zod";
import { callControl, type ControlFailure } from "../client.js";

describe("answers of daemons", () => {
    let server: Server;
    afterEach(() => {
        server.closeAllConnections();
        server.close();
    });

    const failureOf = async (status: number, body: string): Promise<ControlFailure> => {
        server = createServer((...[, response]) => void response.writeHead(status).end(body));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const daemon = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        const result = await callControl({ daemons: [daemon], token: "t", timeoutMilliseconds: 2_000 }, {
            method: "GET",
            path: "/control/v1/status",
            schema: z.object({ ok: z.boolean() }),
        });
        if (result.ok) {
            throw new Error("The call succeeded.");
        }
        return result.val;
    };

    const cases: readonly { guards: string; status: number; body: string; code: string; message: string; }[] = [
        {
            guards: "an error page as an unreachable daemon",
            status: 502,
            body: "<h1>Bad Gateway</h1>",
            code: "unknown",
            message: "status 502: <h1>Bad Gateway</h1>",
        },
        {
            guards: "an empty error as an unreachable daemon",
            status: 500,
            body: "",
            code: "unknown",
            message: "status 500",
        },
        {
            guards: "an error of the daemon as an unknown one",
            status: 404,
            body: JSON.stringify({ error: { message: "No such row.", code: "row_absent" } }),
            code: "row_absent",
            message: "No such row.",
        },
    ];
    cases.forEach(({ guards, status, body, code, message }) =>
        it(`are not told as ${guards}`, async () => {
            const { kind, issues, ...failure } = await failureOf(status, body);
            expect([kind, failure.status, failure.code, issues[0]?.message])
                .to.deep.equal(["refused", status, code, message]);
        })
    );

    it("are not told as an unreachable daemon when a successful one is no JSON", async () => {
        const { kind, code } = await failureOf(200, "<html>");
        expect([kind, code]).to.deep.equal(["refused", "malformed_answer"]);
    });
});
