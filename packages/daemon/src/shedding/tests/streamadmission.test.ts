/** A request that is queued or refused has not run, and ends at once when it can no longer be served. */
import { createRouteLookup, type RelayConfiguration } from "@damaskvale/core";
import { expect } from "chai";
import { createStreamRelay, type StreamRelay } from "../../relay/streamrelay.js";
import { createRelayFixture, quarantinePart, type RelayFixture } from "../../relay/tests/fixture.js";
import { createStreamAdmission, type StreamAdmission } from "../streamadmission.js";

/** Load of other daemons at each of the two groups of 18 slots. */
const FULL = 18;
const IDLE = 0;
const OBJECTIVE_MILLISECONDS = 2_000;

interface Queued extends RelayFixture {
    readonly relay: StreamRelay;
    readonly admission: StreamAdmission;
    readonly load: { inProgress: number; };
    readonly retryAfterSeconds: () => number;
}

const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Starts a request of the priority at a service whose routes have the priorities 0 and 2. */
function start(
    { inProgress, priority = 0, priorities = [0, 2], timeoutMilliseconds, lastEventId, draw = 0.5 }: {
        readonly inProgress: number;
        readonly priority?: number;
        readonly priorities?: readonly number[];
        readonly timeoutMilliseconds?: number;
        readonly lastEventId?: number;
        readonly draw?: number;
    },
): Queued {
    const fixture = createRelayFixture({ kind: "stream", timeoutMilliseconds, lastEventId, promptParts: ["bad"] });
    const { configuration } = fixture.context.lookup;
    const { route } = fixture.context.admitted;
    const stated: RelayConfiguration = {
        ...configuration,
        routes: priorities.map(each => ({ ...route, name: `route-${each}`, priority: each })),
    };
    const load = { inProgress };
    const admission = createStreamAdmission({ ...fixture.parts, random: () => draw, knownDaemons: () => 4 });
    const parts = { ...fixture.parts, admission, peerLoadOf: () => ({ ...load, pendingPromptTokens: 0 }) };
    const context = {
        ...fixture.context,
        lookup: createRouteLookup(stated),
        admitted: { route: { ...route, latencyObjectiveMilliseconds: OBJECTIVE_MILLISECONDS }, priority },
    };
    const relay = createStreamRelay(context, parts, () => undefined);
    relay.start();
    const { caller } = fixture;
    const retryAfterSeconds = (): number => Number(caller.headers[caller.headers.indexOf("Retry-After") + 1]);
    return { ...fixture, relay, admission, load, retryAfterSeconds };
}

describe("admission of streams", () => {
    it("places requests as before, and states no priority, if all routes have the same one", () => {
        const { sends, admission, caller } = start({
            inProgress: FULL - 1,
            priorities: [3, 3],
            priority: 3,
            draw: 0.99,
        });
        expect([sends.length, admission.queued(), caller.ended]).to.deep.equal([1, 0, false]);
        expect(sends[0]?.request.headers.includes("3")).to.equal(false);
    });

    it("states the priority to the target, in range and logged once if it is not", () => {
        const { sends, events } = start({ inProgress: IDLE, priority: 12 });
        const headers = sends[0]?.request.headers ?? [];
        expect(headers[headers.indexOf("priority") + 1]).to.equal("9");
        expect(events.filter(({ name }) => name === "priorityOutOfRange").length).to.equal(1);
    });

    it("refuses a request for which there is no capacity without sending it, with a time to return", () => {
        const { sends, caller, retryAfterSeconds, events } = start({ inProgress: FULL, priority: 2, draw: 0.99 });
        if (!caller.ended) {
            throw new Error(JSON.stringify(events));
        }
        expect([sends.length, caller.status]).to.deep.equal([0, 503]);
        expect(retryAfterSeconds()).to.be.within(0.1, 20);
        expect(events.filter(({ name }) => name === "requestShed").length).to.equal(1);
    });

    it("never holds a resumed stream back", () => {
        const { admission, caller, events } = start({ inProgress: FULL, priority: 2, draw: 0.99, lastEventId: 4 });
        expect([admission.queued(), caller.status]).to.deep.equal([0, 503]);
        expect(events.filter(({ name }) => name === "requestShed").length).to.equal(0);
    });
});

describe("queued request", () => {
    /** A full fleet whose slots become free faster than requests arrive lets a request wait. */
    const wait = (): Queued => {
        const queued = start({ inProgress: FULL, draw: 0 });
        expect([queued.admission.queued(), queued.sends.length, queued.caller.ended]).to.deep.equal([1, 0, false]);
        return queued;
    };

    it("is served once a slot is free", async () => {
        const { load, sends, admission, events } = wait();
        load.inProgress = IDLE;
        await pause(60);
        expect([sends.length, admission.queued()]).to.deep.equal([1, 0]);
        expect(events.find(({ name }) => name === "streamSent")?.fields["queuedMilliseconds"]).to.be.within(1, 60);
    });

    it("is refused after an eighth of its objective, and has not run", async () => {
        const { sends, caller, admission } = wait();
        await pause(OBJECTIVE_MILLISECONDS / 8 + 100);
        expect([sends.length, caller.status, admission.queued()]).to.deep.equal([0, 503, 0]);
    });

    it("is dropped when its caller leaves", async () => {
        const { caller, admission, load, sends } = wait();
        caller.leave();
        load.inProgress = IDLE;
        await pause(60);
        expect([admission.queued(), sends.length]).to.deep.equal([0, 0]);
    });

    it("is refused when the daemon stops, since it has not run", async () => {
        const { relay, caller, admission, load, sends } = wait();
        relay.stop();
        load.inProgress = IDLE;
        await pause(60);
        expect([caller.status, admission.queued(), sends.length]).to.deep.equal([503, 0, 0]);
    });

    it("is refused at once when a part of its prompt is quarantined", () => {
        const { relay, caller, admission, parts } = wait();
        quarantinePart(parts.requestQuarantine);
        relay.cancelIfWaiting("bad");
        expect([caller.status, admission.queued()]).to.deep.equal([503, 0]);
    });

    it("is refused, not failed, if its deadline passes first", async () => {
        const { caller, sends, admission } = start({ inProgress: FULL, draw: 0, timeoutMilliseconds: 120 });
        await pause(200);
        expect([caller.status, sends.length, admission.queued()]).to.deep.equal([503, 0, 0]);
    });
});
