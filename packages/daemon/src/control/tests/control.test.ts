/** A path that cannot be read is a fault of the caller: it gets a 400 that names the path, and no failure is logged. */
import { expect } from "chai";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createControlHandler } from "../control.js";
import type { ControlOptions } from "../types.js";

interface Answer {
    readonly status: number;
    readonly body: string;
}

describe("operator API", () => {
    let events: string[];
    let explained: string[];
    beforeEach(() => {
        events = [];
        explained = [];
    });

    const call = async (url: string): Promise<Answer> => {
        const handle = createControlHandler({
            operators: new Map([["token", "anna"]]),
            events: { emit: (name: string) => void events.push(name) },
            explain: (id: string) => Promise.resolve(void explained.push(id)),
        } as unknown as ControlOptions);
        const answer = { status: 0, body: "" };
        const response = {
            set statusCode(status: number) {
                answer.status = status;
            },
            setHeader: () => undefined,
            end: (body: string) => {
                answer.body = body;
            },
        };
        const request = { url, method: "GET", headers: { authorization: "Bearer token" } };
        await handle(request as IncomingMessage, response as unknown as ServerResponse);
        return answer;
    };

    ["/control/v1/requests/%", "/control/v1/requests/%E0%A4%A", "/control/v1/%zz", "//"].forEach(url =>
        it(`refuses the path ${url} as malformed`, async () => {
            const { status, body } = await call(url);
            expect(status).to.equal(400);
            expect(body).to.contain("malformed_path").and.to.contain(`The path ${url} is malformed.`);
            expect([events, explained]).to.deep.equal([[], []]);
        })
    );

    it("decodes the request id of a path", async () => {
        const { status } = await call("/control/v1/requests/d%2D1");
        expect([status, explained]).to.deep.equal([404, ["d-1"]]);
    });
});
