/** A drained server waits for requests that arrive while the last responses are being sent. */
import { expect } from "chai";
import { drain, shutdownTimesOf } from "../shutdown.js";

const SHUTDOWN_MILLISECONDS = 6_000;
const REQUEST_MILLISECONDS = 300;
/** After the first check that finds no request, and before the process would exit. */
const ARRIVAL_MILLISECONDS = 10;

describe("drain", function() {
    this.timeout(10_000);

    it("does not end while a request is in progress that arrived after the first check without one", async () => {
        const ended: string[] = [];
        let inProgress = 0;
        let wasIdle = false;
        const isIdle = (): boolean => {
            if (!wasIdle && inProgress === 0) {
                wasIdle = true;
                setTimeout(() => {
                    inProgress += 1;
                    setTimeout(() => {
                        inProgress -= 1;
                        ended.push("request");
                    }, REQUEST_MILLISECONDS);
                }, ARRIVAL_MILLISECONDS);
                return true;
            }
            return inProgress === 0;
        };
        const server = { close: () => undefined as never };
        const connections = { closeIdle: () => undefined, closeUnused: () => void ended.push("connections") };
        const requests = { isIdle, endAll: () => void ended.push("all") };
        await drain({ server, connections }, requests, shutdownTimesOf(SHUTDOWN_MILLISECONDS));
        expect(ended).to.deep.equal(["request", "connections"]);
    });
});
